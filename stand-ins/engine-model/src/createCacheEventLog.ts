import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type { CacheEvent, CacheEventLog } from './types';

const RETAINED_EVENTS = 2000;

interface CacheEventLogOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly delay: Milliseconds;
  readonly lossShare: number;
}

interface RecordedEvent extends CacheEvent {
  readonly at: Milliseconds;
}

/** Creates a log of cache changes that delays each one by `delay` and loses a share of them. */
export default function createCacheEventLog(options: CacheEventLogOptions): CacheEventLog {
  const { clock, random, delay, lossShare } = options;
  let events: RecordedEvent[] = [];
  let sequence = 0;

  return {
    record({ added, removed }) {
      if (added.length === 0 && removed.length === 0) {
        return;
      }
      sequence += 1;
      if (random.next() < lossShare) {
        return;
      }
      events.push({ sequence, added, removed, at: clock.now() });
      if (events.length > 2 * RETAINED_EVENTS) {
        events = events.slice(-RETAINED_EVENTS);
      }
    },
    getEventsAfter(last) {
      const due = clock.now() - delay;
      return events
        .filter((event) => event.sequence > last && event.at <= due)
        .map(({ at, ...event }) => event);
    },
  };
}
