import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import giveUp from '../decisions/giveUp';
import type { SchedulerState } from '../decisions/types';
import setStanding from '../servers/setStanding';

function freeOrphans(state: SchedulerState, now: Milliseconds): void {
  state.orphans.forEach((freeAt, request) => {
    if (freeAt > now) {
      return;
    }
    state.orphans.delete(request);
    const slot = state.ledger.tryGet(request);
    if (slot !== undefined) {
      state.ledger.free(state.servers.get(slot.backendServer)!, slot, now);
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

function expire(state: SchedulerState, now: Milliseconds): void {
  let request = state.queue.tryGetNextExpiring();
  while (request !== undefined && request.latestStart < now) {
    state.queue.remove(request);
    giveUp(state, request, now);
    request = state.queue.tryGetNextExpiring();
  }
}

/** Does what has fallen due: frees slots of the dead, starts probes, refuses what is too late. */
export default function passTime(state: SchedulerState, now: Milliseconds): void {
  freeOrphans(state, now);
  startProbes(state, now);
  expire(state, now);
  grantQueued(state, now);
}
