import type { Attempt } from '../servers/types';
import type { SlotGrant } from '../admission/types';
import createAttemptHeaders from './createAttemptHeaders';
import createAttemptMeter from './createAttemptMeter';
import createEventBoundary from './createEventBoundary';
import tryParseLimit from '../limits/tryParseLimit';
import isBegunBy from './isBegunBy';
import recordCrashEvidence from './recordCrashEvidence';
import tryParseLoad from '../speed/tryParseLoad';
import type { AttemptOutcome, AttemptFigures } from '../types';
import type { ResponseRelay, RelayRequestOptions } from './types';

const HTTP_OK = 200;
const HTTP_MISDIRECTED = 421;

interface StartAttemptOptions extends RelayRequestOptions {
  readonly grant: SlotGrant;
  readonly response: ResponseRelay;
  readonly onData: () => void;
  /** Called once, after all other callbacks. */
  readonly onEnd: (figures: AttemptFigures) => void;
}

/** Sends a request to one backend server and forwards its response. */
export default function startAttempt(options: StartAttemptOptions): Attempt {
  const { clock, exchange, plan, names, grant, response, embargo } = options;
  const { server } = grant;
  const meter = createAttemptMeter(clock, plan.outputTokens);
  const boundary = createEventBoundary();
  let isAccepted = true;

  /** Returns how the attempt ended, given how its connection did. */
  function getOutcome(end: AttemptOutcome): AttemptOutcome {
    if (end.kind === 'whole' && !isAccepted) {
      return { kind: 'broken', reason: 'not resumed' };
    }
    const isBrokenOff = plan.route.kind === 'stream' && boundary.isBrokenOff();
    return end.kind === 'whole' && isBrokenOff
      ? { kind: 'broken', reason: 'ended inside an event' }
      : end;
  }

  const headers = createAttemptHeaders({
    exchange,
    plan,
    names,
    server: server.id,
    now: clock.now(),
    lastEventId: response.getLastEventId(),
  });
  return options.connections.send(
    server,
    {
      requestId: plan.requestId,
      method: exchange.method,
      target: exchange.target,
      headers,
      body: exchange.body,
      requestIdHeader: names.requestId,
      notRunHeader: names.notRun,
      retryAfterHeader: names.retryAfter,
      deadline: { at: plan.deadlineAt, header: names.deadline },
    },
    {
      onHead(head) {
        const load = tryParseLoad(head.headers[names.load]);
        if (load !== undefined) {
          grant.recordLoad({ ...load, age: 0 });
        }
        // Another server, at an address that was used again, says nothing about this one.
        if (head.status !== HTTP_MISDIRECTED) {
          options.serverLimits.record(server, tryParseLimit(head.headers[names.limit]));
          options.brittlePools.record(server, tryParseLimit(head.headers[names.brittle]));
        }
        if (head.headers[names.leaving] !== undefined) {
          embargo.recordLeaving(server, clock.now());
          grant.recordLeaving();
        }
        if (isBegunBy(head, { isStream: plan.route.kind === 'stream', names })) {
          options.onBegun();
        }
        boundary.recordHead(head);
        // Only a 200 response continues a resumed stream; any other is not part of it.
        isAccepted = !response.isCommitted() || head.status === HTTP_OK;
        if (isAccepted) {
          response.onHead(head);
        }
      },
      onData(chunk) {
        meter.recordChunk();
        boundary.recordData(chunk);
        options.onData();
        options.onBegun();
        return isAccepted ? response.onData(chunk) : true;
      },
      onEnd(end) {
        if (end.kind === 'notRun' && end.retryAfter !== undefined) {
          embargo.recordTurnedAway(server, end.retryAfter, clock.now());
        }
        const figures = meter.getFigures(getOutcome(end));
        recordCrashEvidence({ ...options, server, traits: plan.traits, figures });
        options.onEnd(figures);
      },
    },
  );
}
