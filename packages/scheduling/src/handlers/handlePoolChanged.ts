import type { Milliseconds } from '@rattanreel/core';
import flushUnservableQueue from '../decisions/flushUnservableQueue';
import grantQueued from '../decisions/grantQueued';
import spillQueued from '../decisions/spillQueued';
import type { SchedulerState } from '../decisions/types';
import createBackendServer from '../servers/createBackendServer';
import getRestoredStanding from '../servers/getRestoredStanding';
import setStanding from '../servers/setStanding';
import type { BackendServer } from '../servers/types';
import type { PoolBackendServer, PoolChanged } from '../types';

function updateServer(
  state: SchedulerState,
  server: BackendServer,
  settings: PoolBackendServer,
  now: Milliseconds,
): void {
  const wasDrained = server.settings.drained;
  server.settings = settings;
  server.streamLimit.setMaximum(settings.maximumStreams);
  if (settings.drained) {
    setStanding(state, server, 'drained', 'taken out by operators');
  } else if (wasDrained) {
    server.streamLimit.restartSlowStart(now);
    setStanding(state, server, getRestoredStanding(server), 'brought back by operators');
  }
}

function addOrUpdateServer(
  state: SchedulerState,
  settings: PoolBackendServer,
  now: Milliseconds,
): void {
  const existing = state.servers.get(settings.id);
  if (existing !== undefined) {
    updateServer(state, existing, settings, now);
    return;
  }
  const server = createBackendServer(settings, state.policy, now);
  state.servers.set(settings.id, server);
  if (settings.drained) {
    setStanding(state, server, 'drained', 'taken out by operators');
  }
}

function removeAbsentServers(state: SchedulerState, changed: PoolChanged, now: Milliseconds): void {
  const present = new Set(changed.backendServers.map((server) => server.id));
  state.servers.forEach((server, id) => {
    if (present.has(id)) {
      return;
    }
    if (server.inFlight.size === 0) {
      state.servers.delete(id);
    } else {
      updateServer(state, server, { ...server.settings, drained: true }, now);
    }
  });
}

/** Applies the current backend servers, version shares and remote pools of the pool. */
export default function handlePoolChanged(
  state: SchedulerState,
  changed: PoolChanged,
  now: Milliseconds,
): void {
  changed.backendServers.forEach((settings) => addOrUpdateServer(state, settings, now));
  removeAbsentServers(state, changed, now);
  state.versionShares.configure(changed.shares);
  state.spillBudget.configure(changed.remotePools, now);
  state.prioritySpillBudget.configure(changed.remotePools, now);
  state.domainDrained = changed.domainDrained;
  state.tierCount = changed.tiers;
  state.poolThroughput = undefined;
  flushUnservableQueue(state, now);
  grantQueued(state, now);
  spillQueued(state, now);
}
