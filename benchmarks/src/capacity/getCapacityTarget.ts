import type { CapacityTarget } from './types';

/** Returns the users' target, with the budgets of a host and of the platform's store. */
export default function getCapacityTarget(): CapacityTarget {
  return {
    hosts: 360,
    engines: 600,
    requestsPerSecond: 2_800,
    tokensPerSecond: 1_100_000,
    customers: 740,
    models: 37,
    failureDomains: 12,
    configurationChangesPerDay: 1_300,
    configurationSeconds: 7,
    firstTokenSeconds: 1.7,
    betweenTokensSeconds: 0.052,
    controlCoreShare: 0.026,
    controlMegabytes: 128,
    controlBytesPerSecond: 18_000,
    storeWritesPerSecond: 300,
    storeReadsPerSecond: 2_000,
  };
}
