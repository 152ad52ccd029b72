import { Agent } from 'undici';
import type { Clock } from '@rattanreel/core';
import sendTimedRequest from './sendTimedRequest';
import type { BatchOptions, MeasuredBatch, TimedRequest } from './types';

const MILLISECONDS_PER_SECOND = 1_000;

/** Sends a batch of requests and times each. */
export default async function measureBatch(
  clock: Clock,
  options: BatchOptions,
): Promise<MeasuredBatch> {
  const { route, label, requests, outputTokens } = options;
  const dispatcher = new Agent({ pipelining: 1 });
  const timed: TimedRequest[] = [];
  let next = 0;

  async function sendNext(): Promise<void> {
    const index = next;
    next += 1;
    const request = `${label}-${route.name}-${index}`;
    timed.push(await sendTimedRequest(dispatcher, clock, route, request, outputTokens));
  }

  async function sendOpenLoop(rate: number): Promise<void> {
    const startedAt = clock.now();
    const sent: Promise<void>[] = [];
    for (let index = 0; index < requests; index += 1) {
      const due = startedAt + (index * MILLISECONDS_PER_SECOND) / rate;
      await new Promise<void>((resolve) => {
        clock.after(Math.max(0, due - clock.now()), resolve);
      });
      sent.push(sendNext());
    }
    await Promise.all(sent);
  }

  async function sendClosedLoop(): Promise<void> {
    while (next < requests) {
      await sendNext();
    }
  }

  const startedAt = clock.now();
  if (options.requestsPerSecond === undefined) {
    await Promise.all(Array.from({ length: options.callers ?? 1 }, sendClosedLoop));
  } else {
    await sendOpenLoop(options.requestsPerSecond);
  }
  const elapsedMilliseconds = clock.now() - startedAt;
  await dispatcher.close();
  return { requests: timed, elapsedMilliseconds };
}
