import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { QueuedRequest } from '../queue/types';
import type { EntryHostIncarnation, MembersChanged } from '../types';

const MAXIMUM_DEAD_INCARNATIONS = 2_000;
const LIFETIMES_BEFORE_RELEASE = 2;

function addDeadIncarnation(state: SchedulerState, member: EntryHostIncarnation): void {
  state.deadIncarnations.add(getIncarnationKey(member));
  if (state.deadIncarnations.size > MAXIMUM_DEAD_INCARNATIONS) {
    state.deadIncarnations.delete(state.deadIncarnations.values().next().value!);
  }
}

function markDead(state: SchedulerState, member: EntryHostIncarnation, now: Milliseconds): void {
  addDeadIncarnation(state, member);
  const releaseAt = now + LIFETIMES_BEFORE_RELEASE * state.policy.grantLifetime;
  state.slotTable
    .getSlotsOfHost(member)
    .forEach((slot) => state.orphanedSlots.set(slot.request, releaseAt));
}

function removeQueuedOfDead(state: SchedulerState): void {
  [state.queue, state.deferredRefusals].forEach((waiting) => {
    const removed: QueuedRequest[] = [];
    waiting.forEach((request) => {
      if (state.deadIncarnations.has(getIncarnationKey(request.grantRequest.from))) {
        removed.push(request);
      }
    });
    removed.forEach((request) => waiting.remove(request));
  });
}

/**
 * Updates the entry hosts considered alive. Waiting requests of dead ones are removed, and their
 * slots are released later.
 */
export default function handleMembersChanged(
  state: SchedulerState,
  changed: MembersChanged,
  now: Milliseconds,
): void {
  state.handover.setMembers(changed.alive);
  const dead = changed.dead.filter(
    (member) => !state.deadIncarnations.has(getIncarnationKey(member)),
  );
  dead.forEach((member) => markDead(state, member, now));
  if (dead.length > 0) {
    removeQueuedOfDead(state);
  }
}
