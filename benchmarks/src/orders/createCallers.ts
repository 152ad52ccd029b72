import { Debug } from '@rattanreel/core';
import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import type { OrderKey, OrderRequest } from '@rattanreel/orders';
import type { OrderFleet, SubmissionOutcome } from '@rattanreel/orders/testing';
import type { CallerKnowledge, OrderHistory, Submission } from './types';

const TRY_LIMIT = 4;
/** Share of callers with a key or ticket that submit again at another host. */
const RETRYING_SHARE = 0.5;
const SHORTEST_PATIENCE: Milliseconds = 20;
const LONGEST_PATIENCE: Milliseconds = 6_000;
const PAUSE_BETWEEN_TRIES: Milliseconds = 500;

interface CallersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: OrderFleet;
  readonly hosts: readonly string[];
}

/** Runs one caller until it stops asking. */
type RunCaller = (history: OrderHistory) => Promise<void>;

function getKnowledge(outcome: SubmissionOutcome): CallerKnowledge {
  if (outcome.kind === 'connectionLost') {
    return 'mayHaveRun';
  }
  const { result } = outcome;
  if (result.kind === 'ok') {
    return 'answered';
  }
  return result.error.execution === 'not-run' ? 'refused' : 'mayHaveRun';
}

/** Callers that wait, lose patience, retry elsewhere, and submit again after a refusal "not run". */
export default function createCallers(options: CallersOptions): RunCaller {
  const { clock, random, fleet, hosts } = options;

  function pickHost(avoided: string | undefined): string {
    const running = hosts.filter((host) => fleet.isRunning(host) && host !== avoided);
    return Debug.checkDefined(running[random.integer(0, running.length - 1)], 'running host');
  }

  function makeKey(history: OrderHistory, host: string): OrderKey {
    switch (history.keyKind) {
      case 'none':
        return { kind: 'none' };
      case 'ticket':
        return { kind: 'ticket', ticket: fleet.getExecutor(host).issueTicket('customer') };
      case 'callerKey':
        return { kind: 'callerKey', key: history.body };
      default:
        return Debug.assertNever(history.keyKind);
    }
  }

  async function submit(
    history: OrderHistory,
    host: string,
    order: OrderRequest,
  ): Promise<SubmissionOutcome> {
    const submission: Submission = {
      host,
      at: clock.now(),
      answeredAt: undefined,
      outcome: undefined,
    };
    history.submissions.push(submission);
    submission.outcome = await fleet.submit(host, order);
    submission.answeredAt = clock.now();
    return submission.outcome;
  }

  return async (history) => {
    const { body, keyKind, submissions } = history;
    const isRetrying = keyKind !== 'none' && random.next() < RETRYING_SHARE;
    const patience =
      SHORTEST_PATIENCE + random.next() ** 2 * (LONGEST_PATIENCE - SHORTEST_PATIENCE);
    let host = pickHost(undefined);
    const order: OrderRequest = {
      customer: 'customer',
      method: 'POST',
      path: '/orders',
      body,
      key: makeKey(history, host),
    };
    for (;;) {
      const pending = submit(history, host, order);
      const impatient = sleep(clock, patience).then(() => undefined);
      const outcome = isRetrying ? await Promise.race([pending, impatient]) : await pending;
      const knowledge = outcome === undefined ? 'mayHaveRun' : getKnowledge(outcome);
      // The best knowledge counts: an answer is kept whatever a later retry says.
      history.knowledge = history.knowledge === 'answered' ? 'answered' : knowledge;
      const wantsMore = isRetrying || knowledge === 'refused';
      if (!wantsMore || submissions.length >= TRY_LIMIT) {
        return;
      }
      await sleep(clock, random.next() * PAUSE_BETWEEN_TRIES);
      if (knowledge === 'answered' && submissions.length > 1) {
        return;
      }
      host = pickHost(host);
    }
  };
}
