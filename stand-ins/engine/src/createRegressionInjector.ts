import type { Random, VersionId } from '@rattanreel/core';
import type { VersionRegression } from './types';

/** Decides which requests a version regression affects. */
interface RegressionInjector {
  setRegression(regression: VersionRegression | undefined): void;
  /** Counts a request; returns whether it fails. */
  shouldFail(version: VersionId, streams: number): boolean;
  getSlowDownFactor(version: VersionId, streams: number): number;
}

/** Creates an injector without a regression. */
export default function createRegressionInjector(random: Random): RegressionInjector {
  let regression: VersionRegression | undefined;
  let requests = 0;

  function isActive(version: VersionId, streams: number): boolean {
    return (
      regression?.version === version &&
      requests > (regression.afterRequests ?? 0) &&
      streams >= (regression.fromStreams ?? 0)
    );
  }

  return {
    setRegression(next) {
      regression = next;
      requests = 0;
    },
    shouldFail(version, streams) {
      requests += regression?.version === version ? 1 : 0;
      return isActive(version, streams) && random.next() < (regression?.failureShare ?? 0);
    },
    getSlowDownFactor: (version, streams) =>
      isActive(version, streams) ? (regression?.slowDownFactor ?? 1) : 1,
  };
}
