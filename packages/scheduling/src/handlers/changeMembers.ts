import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { QueuedRequest } from '../queue/types';
import type { EntryHostIncarnation, MembersChanged } from '../types';

const DEAD_KEPT = 2_000;
const LIFETIMES_BEFORE_FREED = 2;

function rememberDead(state: SchedulerState, member: EntryHostIncarnation): void {
  state.dead.add(getIncarnationKey(member));
  if (state.dead.size > DEAD_KEPT) {
    state.dead.delete(state.dead.values().next().value!);
  }
}

function bury(state: SchedulerState, member: EntryHostIncarnation, now: Milliseconds): void {
  rememberDead(state, member);
  const freeAt = now + LIFETIMES_BEFORE_FREED * state.policy.grantLifetime;
  state.ledger.slotsOf(member).forEach((slot) => state.orphans.set(slot.request, freeAt));
}

function dropQueuedOfDead(state: SchedulerState): void {
  [state.queue, state.deferred].forEach((waiting) => {
    const dropped: QueuedRequest[] = [];
    waiting.forEach((request) => {
      if (state.dead.has(getIncarnationKey(request.asked.from))) {
        dropped.push(request);
      }
    });
    dropped.forEach((request) => waiting.remove(request));
  });
}

/** Takes the entry hosts seen alive; what dead ones had queued is dropped and their slots are freed later. */
export default function changeMembers(
  state: SchedulerState,
  changed: MembersChanged,
  now: Milliseconds,
): void {
  state.handover.membersChanged(changed.alive);
  const dead = changed.dead.filter((member) => !state.dead.has(getIncarnationKey(member)));
  dead.forEach((member) => bury(state, member, now));
  if (dead.length > 0) {
    dropQueuedOfDead(state);
  }
}
