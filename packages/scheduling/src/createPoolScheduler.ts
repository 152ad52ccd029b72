import type { Milliseconds } from '@rattanreel/core';
import { createRandom } from '@rattanreel/core';
import { match } from 'ts-pattern';
import createDemand from './decisions/createDemand';
import createDisplacement from './decisions/createDisplacement';
import createHandover from './decisions/createHandover';
import createRefusalBarrier from './decisions/createRefusalBarrier';
import createSpillBudget from './decisions/createSpillBudget';
import createVersionShares from './decisions/createVersionShares';
import createWorkEstimates from './decisions/createWorkEstimates';
import settleDeferred from './decisions/settleDeferred';
import summarise from './decisions/summarise';
import type { SchedulerState } from './decisions/types';
import defaultPolicy from './defaultPolicy';
import getNextWakeUp from './getNextWakeUp';
import changeCache from './handlers/changeCache';
import changeMembers from './handlers/changeMembers';
import changePool from './handlers/changePool';
import passTime from './handlers/passTime';
import releaseGrant from './handlers/releaseGrant';
import reportInFlight from './handlers/reportInFlight';
import reportLoad from './handlers/reportLoad';
import requestGrant from './handlers/requestGrant';
import seeFirstToken from './handlers/seeFirstToken';
import vetoVersion from './handlers/vetoVersion';
import withdrawGrant from './handlers/withdrawGrant';
import createDeferredRefusals from './queue/createDeferredRefusals';
import createRequestQueue from './queue/createRequestQueue';
import createLedger from './servers/createLedger';
import type { PoolScheduler, PoolSchedulerOptions, SchedulerMessage } from './types';

function createState(options: PoolSchedulerOptions): SchedulerState {
  const policy = { ...defaultPolicy, ...options.policy };
  return {
    options,
    policy,
    random: createRandom(options.seed),
    queue: createRequestQueue(),
    deferred: createDeferredRefusals(),
    ledger: createLedger(),
    servers: new Map(),
    shares: createVersionShares(),
    spill: createSpillBudget(),
    displacement: createDisplacement(),
    barrier: createRefusalBarrier(),
    handover: createHandover(options, policy),
    work: createWorkEstimates(),
    demand: createDemand(),
    finished: new Set(),
    dead: new Set(),
    orphans: new Map(),
    effects: [],
    domainDrained: false,
    tiers: 1,
    sequence: 0,
    poolSpeed: undefined,
    poolSpeedAt: options.startedAt,
  };
}

function apply(state: SchedulerState, message: SchedulerMessage, now: Milliseconds): void {
  match(message)
    .with({ kind: 'grantRequested' }, (asked) => requestGrant(state, asked, now))
    .with({ kind: 'grantWithdrawn' }, (withdrawn) => withdrawGrant(state, withdrawn, now))
    .with({ kind: 'grantReleased' }, (released) => releaseGrant(state, released, now))
    .with({ kind: 'firstTokenSeen' }, (seen) => seeFirstToken(state, seen, now))
    .with({ kind: 'inFlightReported' }, (report) => reportInFlight(state, report, now))
    .with({ kind: 'loadReported' }, (report) => reportLoad(state, report, now))
    .with({ kind: 'cacheChanged' }, (changed) => changeCache(state, changed, now))
    .with({ kind: 'membersChanged' }, (changed) => changeMembers(state, changed, now))
    .with({ kind: 'poolChanged' }, (changed) => changePool(state, changed, now))
    .with({ kind: 'versionVetoed' }, (vetoed) => vetoVersion(state, vetoed, now))
    .with({ kind: 'timePassed' }, () => passTime(state, now))
    .exhaustive();
}

/** Creates the decisions of one pool in one failure domain. */
export default function createPoolScheduler(options: PoolSchedulerOptions): PoolScheduler {
  const state = createState(options);

  return {
    handle(message, now) {
      state.effects = [];
      apply(state, message, now);
      settleDeferred(state, now);
      return state.effects;
    },
    nextWakeUp: (now) => getNextWakeUp(state, now),
    summary: (now) => summarise(state, now),
  };
}
