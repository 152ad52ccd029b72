import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { WindowClock } from './types';

/** A difference of the wall clock from the monotonic clock by more than this is a step. */
const STEP_THRESHOLD: Milliseconds = 250;
/** Times of hosts agree if they differ by less: their messages take time, and clocks differ. */
const AGREEMENT: Milliseconds = 400;
/** Peers' times older than this are not used; summaries arrive every second at least. */
const PEER_TIME_TTL: Milliseconds = 3_000;

/**
 * Advances windows by the wall clock, or by the monotonic clock from the last good wall time after
 * the wall clock was stepped, until most other hosts agree with it. Handles steps in both
 * directions. A suspension looks the same: it ends once the other hosts' times arrive.
 */
export default function createWindowClock(
  clock: Clock,
  onChange: (isStepped: boolean) => void,
): WindowClock {
  const peerOffsets = new Map<EntryHostId, { offset: number; at: Milliseconds }>();
  let goodWall = clock.wallTime().getTime();
  let goodMonotonic = clock.now();
  let isStepped = false;

  function isConfirmed(wall: number): boolean {
    const now = clock.now();
    const fresh = [...peerOffsets.values()].filter(({ at }) => now - at <= PEER_TIME_TTL);
    const agreeing = fresh.filter(({ offset }) => Math.abs(offset + now - wall) < AGREEMENT);
    return agreeing.length * 2 > fresh.length;
  }

  function setStepped(next: boolean): void {
    if (next !== isStepped) {
      isStepped = next;
      onChange(next);
    }
  }

  return {
    now() {
      const wall = clock.wallTime().getTime();
      const predicted = goodWall + clock.now() - goodMonotonic;
      const isOnTime = Math.abs(wall - predicted) <= STEP_THRESHOLD;
      if (isOnTime || isConfirmed(wall)) {
        goodWall = wall;
        goodMonotonic = clock.now();
        setStepped(false);
        return wall;
      }
      setStepped(true);
      return predicted;
    },
    isStepped: () => isStepped,
    recordPeerTime(host, time) {
      const now = clock.now();
      peerOffsets.set(host, { offset: time - now, at: now });
      peerOffsets.forEach(({ at }, name) => {
        if (now - at > PEER_TIME_TTL) {
          peerOffsets.delete(name);
        }
      });
    },
  };
}
