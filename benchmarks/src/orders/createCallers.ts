import { Debug } from '@rattanreel/core';
import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import type { OrderKey, OrderRequest } from '@rattanreel/orders';
import type { OrderFleet, SubmissionOutcome } from '@rattanreel/orders/testing';
import type { KnownOutcome, OrderHistory, Submission } from './types';

const MAXIMUM_SUBMISSIONS = 4;
/** Share of callers with a key or ticket that submit again at another host. */
const RETRYING_SHARE = 0.5;
const MINIMUM_CALLER_TIMEOUT_MILLISECONDS: Milliseconds = 20;
const MAXIMUM_CALLER_TIMEOUT_MILLISECONDS: Milliseconds = 6_000;
const MAXIMUM_RETRY_BACKOFF_MILLISECONDS: Milliseconds = 500;

interface CallersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: OrderFleet;
  readonly hosts: readonly string[];
}

/** Runs one caller until it stops submitting. */
type RunCaller = (history: OrderHistory) => Promise<void>;

function getKnownOutcome(outcome: SubmissionOutcome): KnownOutcome {
  if (outcome.kind === 'connectionLost') {
    return 'mayHaveRun';
  }
  const { result } = outcome;
  if (result.kind === 'ok') {
    return 'answered';
  }
  return result.error.execution === 'not-run' ? 'refused' : 'mayHaveRun';
}

/**
 * Creates callers that wait, time out, retry at another host and submit again after a "not run"
 * refusal.
 */
export default function createCallers(options: CallersOptions): RunCaller {
  const { clock, random, fleet, hosts } = options;

  function pickHost(excludedHost: string | undefined): string {
    const running = hosts.filter((host) => fleet.isRunning(host) && host !== excludedHost);
    return Debug.checkDefined(running[random.integer(0, running.length - 1)], 'running host');
  }

  function createOrderKey(history: OrderHistory, host: string): OrderKey {
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
    const callerTimeout =
      MINIMUM_CALLER_TIMEOUT_MILLISECONDS +
      random.next() ** 2 *
        (MAXIMUM_CALLER_TIMEOUT_MILLISECONDS - MINIMUM_CALLER_TIMEOUT_MILLISECONDS);
    let host = pickHost(undefined);
    const order: OrderRequest = {
      customer: 'customer',
      method: 'POST',
      path: '/orders',
      body,
      key: createOrderKey(history, host),
    };
    for (;;) {
      const pending = submit(history, host, order);
      const timedOut = sleep(clock, callerTimeout).then(() => undefined);
      const outcome = isRetrying ? await Promise.race([pending, timedOut]) : await pending;
      const knownOutcome = outcome === undefined ? 'mayHaveRun' : getKnownOutcome(outcome);
      // A known answer stays the known outcome, whatever a later retry returns.
      history.knownOutcome = history.knownOutcome === 'answered' ? 'answered' : knownOutcome;
      const shouldRetry = isRetrying || knownOutcome === 'refused';
      if (!shouldRetry || submissions.length >= MAXIMUM_SUBMISSIONS) {
        return;
      }
      await sleep(clock, random.next() * MAXIMUM_RETRY_BACKOFF_MILLISECONDS);
      if (knownOutcome === 'answered' && submissions.length > 1) {
        return;
      }
      host = pickHost(host);
    }
  };
}
