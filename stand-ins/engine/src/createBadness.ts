import type { Random, VersionId } from '@rattanreel/core';
import type { BadVersion } from './types';

/** Tells which requests a bad version spoils. */
interface Badness {
  set(bad: BadVersion | undefined): void;
  /** Counts a request and says whether it is to fail. */
  spoils(version: VersionId, streams: number): boolean;
  slowDownFactor(version: VersionId, streams: number): number;
}

/** No version is bad at first. */
export default function createBadness(random: Random): Badness {
  let bad: BadVersion | undefined;
  let requests = 0;

  function shows(version: VersionId, streams: number): boolean {
    return (
      bad?.version === version &&
      requests > (bad.afterRequests ?? 0) &&
      streams >= (bad.fromStreams ?? 0)
    );
  }

  return {
    set(next) {
      bad = next;
      requests = 0;
    },
    spoils(version, streams) {
      requests += bad?.version === version ? 1 : 0;
      return shows(version, streams) && random.next() < (bad?.failureShare ?? 0);
    },
    slowDownFactor: (version, streams) =>
      shows(version, streams) ? (bad?.slowDownFactor ?? 1) : 1,
  };
}
