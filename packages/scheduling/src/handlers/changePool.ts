import type { Milliseconds } from '@rattanreel/core';
import abandonQueue from '../decisions/abandonQueue';
import grantQueued from '../decisions/grantQueued';
import spillQueued from '../decisions/spillQueued';
import type { SchedulerState } from '../decisions/types';
import createBackendServer from '../servers/createBackendServer';
import getReturnStanding from '../servers/getReturnStanding';
import setStanding from '../servers/setStanding';
import type { BackendServer } from '../servers/types';
import type { PoolBackendServer, PoolChanged } from '../types';

function update(
  state: SchedulerState,
  server: BackendServer,
  settings: PoolBackendServer,
  now: Milliseconds,
): void {
  const wasDrained = server.settings.drained;
  server.settings = settings;
  server.limit.setMaximum(settings.maximumStreams);
  if (settings.drained) {
    setStanding(state, server, 'drained', 'taken out by operators');
  } else if (wasDrained) {
    server.limit.restart(now);
    setStanding(state, server, getReturnStanding(server), 'brought back by operators');
  }
}

function addOrUpdate(state: SchedulerState, settings: PoolBackendServer, now: Milliseconds): void {
  const known = state.servers.get(settings.id);
  if (known !== undefined) {
    update(state, known, settings, now);
    return;
  }
  const server = createBackendServer(settings, state.policy, now);
  state.servers.set(settings.id, server);
  if (settings.drained) {
    setStanding(state, server, 'drained', 'taken out by operators');
  }
}

function removeAbsent(state: SchedulerState, changed: PoolChanged, now: Milliseconds): void {
  const present = new Set(changed.backendServers.map((server) => server.id));
  state.servers.forEach((server, id) => {
    if (present.has(id)) {
      return;
    }
    if (server.inFlight.size === 0) {
      state.servers.delete(id);
    } else {
      update(state, server, { ...server.settings, drained: true }, now);
    }
  });
}

/** Takes the pool's backend servers, version shares and neighbours as configured now. */
export default function changePool(
  state: SchedulerState,
  changed: PoolChanged,
  now: Milliseconds,
): void {
  changed.backendServers.forEach((settings) => addOrUpdate(state, settings, now));
  removeAbsent(state, changed, now);
  state.shares.configure(changed.shares);
  state.spill.configure(changed.neighbours, now);
  state.displacement.configure(changed.neighbours, now);
  state.domainDrained = changed.domainDrained;
  state.tiers = changed.tiers;
  state.poolSpeed = undefined;
  abandonQueue(state, now);
  grantQueued(state, now);
  spillQueued(state, now);
}
