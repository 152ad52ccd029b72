import type { EntryHostId } from '@rattanreel/core';
import type { FleetRole, PeerAddress } from '../types';

interface SummaryRecipientsOptions {
  readonly role: FleetRole;
  /** All registered hosts other than this one. */
  readonly peers: readonly PeerAddress[];
  /** The first candidates for the scheduler of each failure domain, other than this host. */
  readonly candidates: readonly PeerAddress[];
  /** Hosts from which a summary arrived recently. */
  readonly reachable: readonly PeerAddress[];
}

interface SummaryRecipients {
  /** Hosts that receive each change. */
  readonly direct: readonly PeerAddress[];
  /** Hosts that receive complete summaries only, so that they can take over at any time. */
  readonly standby: readonly PeerAddress[];
}

/**
 * Returns the peers to which a host sends its summaries: all of a small fleet. In a large one only
 * hosts that schedule a failure domain send any, to each other and to the hosts that would replace
 * them, so that the number of messages grows with the number of domains rather than of hosts.
 */
export default function chooseSummaryRecipients(
  options: SummaryRecipientsOptions,
): SummaryRecipients {
  const { role, peers, candidates, reachable } = options;
  if (!role.isLarge) {
    return { direct: peers, standby: [] };
  }
  if (!role.isGranting) {
    return { direct: [], standby: [] };
  }
  const reachableNames = new Set<EntryHostId>(reachable.map(({ entryHost }) => entryHost));
  const standby = candidates.filter(({ entryHost }) => !reachableNames.has(entryHost));
  return { direct: reachable, standby };
}
