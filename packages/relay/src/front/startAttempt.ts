import type { Attempt } from '../servers/types';
import type { AttemptFigures } from '../pools/types';
import type { ServerAccount } from '../types';
import createAttemptHeaders from './createAttemptHeaders';
import createAttemptMeter from './createAttemptMeter';
import tryReadLoad from './tryReadLoad';
import type { AnswerRelay, RelayRequestOptions } from './types';

const HTTP_OK = 200;

interface StartAttemptOptions extends RelayRequestOptions {
  readonly server: ServerAccount;
  readonly answer: AnswerRelay;
  readonly onData: () => void;
  /** Called once, after everything else. */
  readonly onEnd: (figures: AttemptFigures) => void;
}

/** Sends an admitted request to one backend server and passes on what comes back. */
export default function startAttempt(options: StartAttemptOptions): Attempt {
  const { clock, exchange, plan, names, server, answer, desk } = options;
  const meter = createAttemptMeter(clock, plan.outputTokens);
  let isAnswer = true;
  const headers = createAttemptHeaders({
    exchange,
    plan,
    names,
    server: server.listed.id,
    now: clock.now(),
    resumeAfter: answer.resumeAfter(),
  });
  return options.connections.send(
    server.listed,
    {
      requestId: plan.requestId,
      method: exchange.method,
      target: exchange.target,
      headers,
      body: exchange.body,
      requestIdHeader: names.requestId,
      notRunHeader: names.notRun,
    },
    {
      onHead(head) {
        const load = tryReadLoad(head.headers[names.load]);
        if (load !== undefined) {
          desk.noteLoad(server, load.running, load.waiting);
        }
        // A resumed stream goes on only with events; anything else is no part of it.
        isAnswer = !answer.isCommitted() || head.status === HTTP_OK;
        if (isAnswer) {
          answer.onHead(head);
        }
      },
      onData(chunk) {
        meter.noteChunk();
        options.onData();
        return isAnswer ? answer.onData(chunk) : true;
      },
      onEnd(end) {
        const isForeign = end.kind === 'whole' && !isAnswer;
        options.onEnd(meter.read(isForeign ? { kind: 'broken', reason: 'not resumed' } : end));
      },
    },
  );
}
