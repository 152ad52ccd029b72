import { Agent } from 'undici';
import { createSystemClock } from '@rattanreel/core';
import type { Clock, Milliseconds } from '@rattanreel/core';
import planLoad from './planLoad';
import sendChat from './sendChat';
import sendOrder from './sendOrder';
import summariseLoad from './summariseLoad';
import tryFetchTicket from './tryFetchTicket';
import type { CallerRecord, LoadOptions, LoadRun, PlannedOrder, PlannedRequest } from './types';

const PROGRESS_INTERVAL_MS = 1_000;
const ANSWER_TIMEOUT_MS = 120_000;

function sleep(clock: Clock, duration: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(Math.max(0, duration), resolve);
  });
}

/** Runs the plan open-loop: sends each request at its time, even if earlier ones are unanswered. */
export default async function runLoad(options: LoadOptions): Promise<LoadRun> {
  const clock = createSystemClock();
  const dispatcher = new Agent({
    pipelining: 1,
    headersTimeout: ANSWER_TIMEOUT_MS,
    bodyTimeout: ANSWER_TIMEOUT_MS,
  });
  const records: CallerRecord[] = [];
  let sent = 0;

  async function runOrder(planned: PlannedOrder): Promise<void> {
    const { orders: target, deadline } = options;
    if (target === undefined) {
      return;
    }
    const { customer, entryHost } = planned;
    const ticket =
      planned.key === 'ticket'
        ? await tryFetchTicket(dispatcher, entryHost, customer.apiKey)
        : undefined;
    const submission = { planned, target, ticket, deadline };

    async function retry(retryEntryHost: string): Promise<void> {
      await sleep(clock, planned.retryDelay);
      sent += 1;
      records.push(
        await sendOrder(dispatcher, clock, { ...submission, entryHost: retryEntryHost }),
      );
    }

    sent += 1;
    // Without its ticket the order has no key, so a second submission would be a second order.
    const retriable = planned.key !== 'ticket' || ticket !== undefined;
    const retried =
      planned.retryEntryHost === undefined || !retriable
        ? undefined
        : retry(planned.retryEntryHost);
    records.push(await sendOrder(dispatcher, clock, { ...submission, entryHost }));
    await retried;
  }

  async function runRequest(planned: PlannedRequest, startedAt: Milliseconds): Promise<void> {
    await sleep(clock, startedAt + planned.at - clock.now());
    if (planned.kind === 'order') {
      await runOrder(planned);
    } else {
      sent += 1;
      records.push(await sendChat(dispatcher, clock, planned, options.deadline));
    }
  }

  function countRecords(outcome: CallerRecord['outcome']): number {
    return records.filter((record) => record.outcome === outcome).length;
  }

  const progress = setInterval(() => {
    options.onProgress?.({
      sent,
      ended: records.length,
      answeredWhole: countRecords('answeredWhole'),
      refusedNotRun: countRecords('refusedNotRun'),
    });
  }, PROGRESS_INTERVAL_MS);
  const startedAt = clock.now();
  await Promise.all(planLoad(options).map((planned) => runRequest(planned, startedAt)));
  clearInterval(progress);
  await dispatcher.close();
  return { records, summary: summariseLoad(options.seed, records) };
}
