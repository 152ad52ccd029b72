import type { EntryHostId } from '@rattanreel/core';
import createDomainDirectory from './createDomainDirectory';
import createMemberTable from './createMemberTable';
import createOwnerSelector from './createOwnerSelector';
import createPeriodicSchedule from './createPeriodicSchedule';
import defaultMembershipPolicy from './defaultMembershipPolicy';
import type {
  LocalState,
  MembershipContext,
  MembershipEffect,
  MembershipOptions,
  OwnRowHolder,
} from './types';

interface MembershipContextOptions {
  readonly membership: MembershipOptions;
  readonly holder: OwnRowHolder;
  readonly emit: (effect: MembershipEffect) => void;
}

/** Creates the state and functions that the parts of one membership share. */
export default function createMembershipContext(
  options: MembershipContextOptions,
): MembershipContext {
  const { membership, holder, emit } = options;
  const { failureDomain } = membership;
  const policy = { ...defaultMembershipPolicy, ...membership.policy };
  const table = createMemberTable({ watchers: policy.watchers });
  const directory = createDomainDirectory({ failureDomain });
  const ownerSelector = createOwnerSelector();
  const localState: LocalState = {
    entryHosts: membership.entryHosts,
    generation: 0,
    capacities: [],
  };

  function tryGetAddress(entryHost: EntryHostId): string | undefined {
    const row = table.tryGet(entryHost);
    if (row !== undefined) {
      return row.address;
    }
    return localState.entryHosts.find(({ id }) => id === entryHost)?.peerAddress;
  }

  const context: MembershipContext = {
    failureDomain,
    policy,
    table,
    directory,
    ownerSelector,
    localState,
    schedule: createPeriodicSchedule(membership.startedAt),
    self: () => holder.row,
    emit,
    membersOf: (domain) =>
      domain === failureDomain ? table.members() : directory.membersOf(domain),
    delegatesOf: (domain) => ownerSelector.getDelegates(context.membersOf(domain)),
    delegateIndex: () =>
      context
        .delegatesOf(failureDomain)
        .findIndex(({ entryHost }) => entryHost === membership.entryHost),
    send(entryHost, message, address = tryGetAddress(entryHost)) {
      if (address !== undefined && entryHost !== membership.entryHost) {
        emit({ kind: 'sendToPeer', entryHost, address, message });
      }
    },
    broadcast(message) {
      table.liveRows().forEach(({ entryHost }) => context.send(entryHost, message));
    },
  };
  return context;
}
