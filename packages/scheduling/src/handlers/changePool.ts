import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import spillOrRefuse from '../decisions/spillOrRefuse';
import type { SchedulerState } from '../decisions/types';
import createBackendServer from '../servers/createBackendServer';
import setStanding from '../servers/setStanding';
import type { BackendServer } from '../servers/types';
import type { PoolBackendServer, PoolChanged } from '../types';

function update(state: SchedulerState, server: BackendServer, settings: PoolBackendServer): void {
  const wasDrained = server.settings.drained;
  server.settings = settings;
  server.limit.setMaximum(settings.maximumStreams);
  if (settings.drained) {
    setStanding(state, server, 'drained', 'taken out by operators');
  } else if (wasDrained) {
    server.limit.restart();
    setStanding(state, server, 'slowStart', 'brought back by operators');
  }
}

function addOrUpdate(state: SchedulerState, settings: PoolBackendServer, now: Milliseconds): void {
  const known = state.servers.get(settings.id);
  if (known !== undefined) {
    update(state, known, settings);
    return;
  }
  const server = createBackendServer(settings, state.policy, now);
  state.servers.set(settings.id, server);
  if (settings.drained) {
    setStanding(state, server, 'drained', 'taken out by operators');
  }
}

function removeAbsent(state: SchedulerState, changed: PoolChanged): void {
  const present = new Set(changed.backendServers.map((server) => server.id));
  state.servers.forEach((server, id) => {
    if (present.has(id)) {
      return;
    }
    if (server.inFlight.size === 0) {
      state.servers.delete(id);
    } else {
      update(state, server, { ...server.settings, drained: true });
    }
  });
}

/** Refuses or passes on everything queued, lowest tier first. */
function emptyQueue(state: SchedulerState, now: Milliseconds): void {
  let request = state.queue.tryGetNewestOfLowest();
  while (request !== undefined) {
    state.queue.remove(request);
    spillOrRefuse(state, request, 'domainDrained', now);
    request = state.queue.tryGetNewestOfLowest();
  }
}

/** Takes the pool's backend servers, version shares and neighbours as configured now. */
export default function changePool(
  state: SchedulerState,
  changed: PoolChanged,
  now: Milliseconds,
): void {
  changed.backendServers.forEach((settings) => addOrUpdate(state, settings, now));
  removeAbsent(state, changed);
  state.shares.configure(changed.shares);
  state.spill.configure(changed.neighbours);
  state.domainDrained = changed.domainDrained;
  state.tiers = changed.tiers;
  state.poolSpeed = undefined;
  if (changed.domainDrained) {
    emptyQueue(state, now);
  }
  grantQueued(state, now);
}
