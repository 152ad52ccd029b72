import type { ConfigurationMessage } from '@rattanreel/configuration';
import type { EntryHostId } from '@rattanreel/core';
import type { MembershipView } from '@rattanreel/membership';

/** Builds the message that informs the configuration replica of the live peers in this failure domain. */
export default function buildPeersChanged(
  self: EntryHostId,
  { members, isDelegate }: MembershipView,
): ConfigurationMessage {
  const peers = members
    .filter(({ entryHost, state }) => entryHost !== self && state === 'alive')
    .map(({ entryHost, address }) => ({ entryHost, address }));
  return { kind: 'peersChanged', peers, isDelegate };
}
