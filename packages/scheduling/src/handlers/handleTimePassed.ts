import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import spillOrDeferRefusal from '../decisions/spillOrDeferRefusal';
import type { SchedulerState } from '../decisions/types';
import setStanding from '../servers/setStanding';

function releaseOrphanedSlots(state: SchedulerState, now: Milliseconds): void {
  state.orphanedSlots.forEach((releaseAt, request) => {
    if (releaseAt > now) {
      return;
    }
    state.orphanedSlots.delete(request);
    const slot = state.slotTable.tryGet(request);
    if (slot !== undefined) {
      state.slotTable.release(state.servers.get(slot.backendServer)!, slot, now);
      state.effects.push({
        kind: 'cancelAtBackendServer',
        backendServer: slot.backendServer,
        request,
      });
    }
  });
}

function startProbes(state: SchedulerState, now: Milliseconds): void {
  state.servers.forEach((server) => {
    if (server.standing === 'ejected' && server.probeAt !== undefined && server.probeAt <= now) {
      server.probeAt = undefined;
      setStanding(state, server, 'probing', 'ejection over');
    }
  });
}

function expireQueued(state: SchedulerState, now: Milliseconds): void {
  let request = state.queue.tryGetNextExpiring();
  while (request !== undefined && request.latestStart < now) {
    state.queue.remove(request);
    spillOrDeferRefusal(state, request, now);
    request = state.queue.tryGetNextExpiring();
  }
}

/**
 * Performs what is due: releases slots of dead entry hosts, starts probes, and spills over or
 * refuses requests that can no longer be answered in time.
 */
export default function handleTimePassed(state: SchedulerState, now: Milliseconds): void {
  releaseOrphanedSlots(state, now);
  startProbes(state, now);
  expireQueued(state, now);
  grantQueued(state, now);
}
