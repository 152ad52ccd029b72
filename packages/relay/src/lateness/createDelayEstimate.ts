import type { Milliseconds } from '@rattanreel/core';
import type { DelayEstimate } from './types';

/**
 * Time of a responsive event loop after which a delay is forgotten: short enough that callers who
 * return after a refusal are served again within a second of the recovery.
 */
const WINDOW: Milliseconds = 800;
/** Bounds the memory, since no responsive time passes while each turn is late. */
const MAXIMUM_TURNS = 8;
/**
 * Largest error of an arrival time. A request may reach its server 500 ms after its caller gave up;
 * the rest is left for the connection.
 */
const MAXIMUM_ARRIVAL_ERROR: Milliseconds = 400;

/** Shorter turns are those of a responsive event loop. */
const TURN_TOLERANCE: Milliseconds = 20;

/** A turn of the event loop: its timers, and the events that were pending meanwhile. */
interface Turn {
  readonly startedAt: Milliseconds;
  /** The two largest delays of timers in this turn. */
  largest: Milliseconds;
  second: Milliseconds;
}

interface LateTurn {
  readonly delay: Milliseconds;
  /** End of the turn, on a clock that stands still while the event loop is late. */
  readonly endedAt: Milliseconds;
}

/**
 * Estimates the event loop delay of a host whose processor time runs out in bursts. A delay is
 * expected again only if two turns of the last responsive 800 ms had it; what the current turn has
 * waited counts for the events of that turn if two timers show it.
 */
export default function createDelayEstimate(): DelayEstimate {
  let turn: Turn | undefined;
  let lateTurns: readonly LateTurn[] = [];
  let totalDelay = 0;

  /** Returns for how long events had to wait in the current turn, with the time that it takes. */
  function getTurnDelay(now: Milliseconds): Milliseconds {
    const delay = turn === undefined ? 0 : turn.largest + now - turn.startedAt;
    return delay < TURN_TOLERANCE ? 0 : delay;
  }

  function getResponsiveTime(now: Milliseconds): Milliseconds {
    return now - totalDelay - getTurnDelay(now);
  }

  function listRecent(now: Milliseconds): readonly LateTurn[] {
    const since = getResponsiveTime(now) - WINDOW;
    return lateTurns.filter(({ endedAt }) => endedAt >= since);
  }

  function getSecondLargest(delays: readonly Milliseconds[]): Milliseconds {
    return [...delays].sort((left, right) => right - left)[1] ?? 0;
  }

  return {
    tryBeginTurn(now) {
      const isNew = turn === undefined;
      turn ??= { startedAt: now, largest: 0, second: 0 };
      return isNew;
    },
    recordLateTimer(lateness, now) {
      turn ??= { startedAt: now, largest: 0, second: 0 };
      // The wait since this turn began is counted by the turn itself.
      const delay = Math.max(lateness - (now - turn.startedAt), 0);
      turn.second = Math.max(turn.second, Math.min(turn.largest, delay));
      turn.largest = Math.max(turn.largest, delay);
    },
    isTurnLate: (now) => getTurnDelay(now) > 0,
    endTurn(now) {
      const delay = getTurnDelay(now);
      turn = undefined;
      if (delay > 0) {
        totalDelay += delay;
        const latest = { delay, endedAt: getResponsiveTime(now) };
        lateTurns = [...listRecent(now), latest].slice(-MAXIMUM_TURNS);
      }
    },
    getResponsiveTime,
    getDelay(now) {
      const delays = listRecent(now).map(({ delay }) => delay);
      return getSecondLargest([...delays, getTurnDelay(now)]);
    },
    getArrivalDelay(now) {
      if (turn === undefined) {
        return 0;
      }
      const earlier = listRecent(now).map(({ delay }) => delay);
      const expected = Math.max(0, ...earlier);
      const confirmed = Math.max(turn.second, Math.min(turn.largest, expected));
      const longest = confirmed + (now - turn.startedAt);
      return Math.max(longest / 2, longest - MAXIMUM_ARRIVAL_ERROR);
    },
  };
}
