import type { Milliseconds } from '@rattanreel/core';
import { createRandom } from '@rattanreel/core';
import { match } from 'ts-pattern';
import createDemandTracker from './decisions/createDemandTracker';
import createPrioritySpillBudget from './decisions/createPrioritySpillBudget';
import createHandover from './decisions/createHandover';
import createRefusalBarrier from './decisions/createRefusalBarrier';
import createSpillBudget from './decisions/createSpillBudget';
import createVersionShares from './decisions/createVersionShares';
import createWorkEstimates from './decisions/createWorkEstimates';
import issueDeferredRefusals from './decisions/issueDeferredRefusals';
import summarisePool from './decisions/summarisePool';
import type { SchedulerState } from './decisions/types';
import defaultPolicy from './defaultPolicy';
import tryGetNextWakeUp from './tryGetNextWakeUp';
import handleCacheChanged from './handlers/handleCacheChanged';
import handleMembersChanged from './handlers/handleMembersChanged';
import handlePoolChanged from './handlers/handlePoolChanged';
import handleTimePassed from './handlers/handleTimePassed';
import handleGrantReleased from './handlers/handleGrantReleased';
import handleInFlightReported from './handlers/handleInFlightReported';
import handleLoadReported from './handlers/handleLoadReported';
import handleGrantRequested from './handlers/handleGrantRequested';
import handleFirstTokenSeen from './handlers/handleFirstTokenSeen';
import handleVersionVetoed from './handlers/handleVersionVetoed';
import handleGrantWithdrawn from './handlers/handleGrantWithdrawn';
import createDeferredRefusals from './queue/createDeferredRefusals';
import createRequestQueue from './queue/createRequestQueue';
import createSlotTable from './servers/createSlotTable';
import type { PoolScheduler, PoolSchedulerOptions, SchedulerMessage } from './types';

function createState(options: PoolSchedulerOptions): SchedulerState {
  const policy = { ...defaultPolicy, ...options.policy };
  return {
    options,
    policy,
    random: createRandom(options.seed),
    queue: createRequestQueue(),
    deferredRefusals: createDeferredRefusals(),
    slotTable: createSlotTable(),
    servers: new Map(),
    versionShares: createVersionShares(),
    spillBudget: createSpillBudget(),
    prioritySpillBudget: createPrioritySpillBudget(),
    refusalBarrier: createRefusalBarrier(),
    handover: createHandover(options, policy),
    workEstimates: createWorkEstimates(),
    demandTracker: createDemandTracker(),
    finishedRequests: new Set(),
    unconnected: new Map(),
    deadIncarnations: new Set(),
    orphanedSlots: new Map(),
    effects: [],
    domainDrained: false,
    tierCount: 1,
    sequence: 0,
    poolThroughput: undefined,
    poolThroughputAt: options.startedAt,
  };
}

function handleMessage(state: SchedulerState, message: SchedulerMessage, now: Milliseconds): void {
  match(message)
    .with({ kind: 'grantRequested' }, (grantRequest) =>
      handleGrantRequested(state, grantRequest, now),
    )
    .with({ kind: 'grantWithdrawn' }, (withdrawn) => handleGrantWithdrawn(state, withdrawn, now))
    .with({ kind: 'grantReleased' }, (released) => handleGrantReleased(state, released, now))
    .with({ kind: 'firstTokenSeen' }, (seen) => handleFirstTokenSeen(state, seen, now))
    .with({ kind: 'inFlightReported' }, (report) => handleInFlightReported(state, report, now))
    .with({ kind: 'loadReported' }, (report) => handleLoadReported(state, report, now))
    .with({ kind: 'cacheChanged' }, (changed) => handleCacheChanged(state, changed, now))
    .with({ kind: 'membersChanged' }, (changed) => handleMembersChanged(state, changed, now))
    .with({ kind: 'poolChanged' }, (changed) => handlePoolChanged(state, changed, now))
    .with({ kind: 'versionVetoed' }, (vetoed) => handleVersionVetoed(state, vetoed, now))
    .with({ kind: 'timePassed' }, () => handleTimePassed(state, now))
    .exhaustive();
}

/** Creates the scheduler of one pool in one failure domain. */
export default function createPoolScheduler(options: PoolSchedulerOptions): PoolScheduler {
  const state = createState(options);

  return {
    handle(message, now) {
      state.effects = [];
      handleMessage(state, message, now);
      issueDeferredRefusals(state, now);
      return state.effects;
    },
    tryGetNextWakeUp: (now) => tryGetNextWakeUp(state, now),
    getSummary: (now) => summarisePool(state, now),
  };
}
