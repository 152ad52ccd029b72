import type { Milliseconds } from '@rattanreel/core';
import type { PoolBackendServer, SchedulerPolicy } from '../types';
import createHealthMonitor from './createHealthMonitor';
import createPrefixIndex from './createPrefixIndex';
import createSpeedModel from './createSpeedModel';
import createStreamLimit from './createStreamLimit';
import type { BackendServer } from './types';

/** Creates the state of a backend server of which nothing is known yet; it counts as cold. */
export default function createBackendServer(
  settings: PoolBackendServer,
  policy: SchedulerPolicy,
  now: Milliseconds,
): BackendServer {
  const { maximumStreams } = settings;
  return {
    settings,
    version: settings.version,
    incarnation: undefined,
    ready: true,
    leaving: false,
    standing: 'slowStart',
    probeAt: undefined,
    consecutiveEjections: 0,
    memoryTokens: settings.memoryTokens,
    inFlight: new Map(),
    awaitingFirstToken: new Set(),
    lateAt: Number.POSITIVE_INFINITY,
    overdueAt: Number.POSITIVE_INFINITY,
    reservedTokens: 0,
    prefillTokens: 0,
    unaccountedStreams: 0,
    recentReleaseTimes: [],
    streamTime: 0,
    streamTimeUpdatedAt: now,
    speed: createSpeedModel(),
    previousVersionSpeed: undefined,
    hasChangedVersion: false,
    streamLimit: createStreamLimit({ maximumStreams, slowStartStreams: policy.slowStartStreams }),
    health: createHealthMonitor(),
    prefixes: createPrefixIndex(settings.memoryTokens),
  };
}
