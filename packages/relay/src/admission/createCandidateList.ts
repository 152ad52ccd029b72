import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import createExclusions from './createExclusions';

interface CandidateListOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly ownName: EntryHostId;
}

interface CandidateList {
  /** Sets the candidates in their order of preference. */
  set(candidates: readonly PeerAddress[]): void;
  tryGetFirst(): PeerAddress | undefined;
  /** Returns the rank of a host, the lower the better; infinite if it is no candidate. */
  getRank(host: EntryHostId): number;
  /**
   * Excludes a host that was lost, for longer each time unless a duration is given. One that is late
   * is still used if there is no other one.
   */
  exclude(host: EntryHostId, why: 'lost' | 'late', duration?: Milliseconds): void;
  /** Returns the best candidate that may be used; undefined if there is none. */
  tryChoose(): PeerAddress | undefined;
  /** Returns the best candidate that precedes a host. */
  tryFindBetter(host: EntryHostId): PeerAddress | undefined;
}

/** Holds the candidates for the scheduler, of which lost and late ones are not used for a time. */
export default function createCandidateList(options: CandidateListOptions): CandidateList {
  const { clock, ownName } = options;
  const exclusions = createExclusions();
  const lateHosts = createExclusions();
  let candidates: readonly PeerAddress[] = [];

  function isAllowed({ entryHost }: PeerAddress): boolean {
    return entryHost === ownName || !exclusions.has(entryHost, clock.now());
  }

  function isPreferred(host: PeerAddress): boolean {
    return isAllowed(host) && !lateHosts.has(host.entryHost, clock.now());
  }

  function getRank(host: EntryHostId): number {
    const index = candidates.findIndex(({ entryHost }) => entryHost === host);
    return index < 0 ? Infinity : index;
  }

  return {
    set(next) {
      candidates = next;
    },
    tryGetFirst: () => candidates[0],
    getRank,
    exclude(host, why, duration) {
      const now = clock.now();
      if (why === 'lost') {
        exclusions.add(host, now, duration);
      } else if (!lateHosts.has(host, now)) {
        lateHosts.add(host, now);
      }
    },
    tryChoose: () => candidates.find(isPreferred) ?? candidates.find(isAllowed),
    tryFindBetter(host) {
      const rank = getRank(host);
      return candidates.find((candidate, index) => index < rank && isPreferred(candidate));
    },
  };
}
