import type { Milliseconds, Random } from '@rattanreel/core';
import type { LimitPacing } from '../types';

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Smallest rate at which requests are sent all the same: only a response tells that a limit was
 * taken back. The rules allow 5 requests in 4 s beyond any limit.
 */
const MINIMUM_RATE = 0.25;
/**
 * Time for which a request may be sent once it is due. Due times that pass are not made up for:
 * hosts that sent nothing for a while would send at the same moment.
 */
const DUE_TIME: Milliseconds = 1_000;

interface PacingOptions {
  readonly rate: number;
  /** Hosts for which this one sends, and all hosts; a host uses its share whoever it can reach. */
  readonly ownHosts: number;
  readonly fleetHosts: number;
  readonly now: Milliseconds;
  readonly random: Random;
}

/** Returns the pacing that follows from the current limit and share of a host. */
export default function updatePacing(
  known: LimitPacing | undefined,
  { rate, ownHosts, fleetHosts, now, random }: PacingOptions,
): LimitPacing {
  const share = Math.min(ownHosts / fleetHosts, 1);
  const interval = MILLISECONDS_PER_SECOND / (Math.max(rate, MINIMUM_RATE) * share);
  if (known === undefined) {
    return { rate, interval, nextAt: now + random.next() * interval };
  }
  const remaining = known.nextAt - now;
  if (known.interval !== interval && remaining > 0) {
    return { rate, interval, nextAt: now + remaining * (interval / known.interval) };
  }
  const overdue = -remaining - DUE_TIME;
  const passed = overdue <= 0 ? 0 : Math.ceil(overdue / interval);
  return { rate, interval, nextAt: known.nextAt + passed * interval };
}
