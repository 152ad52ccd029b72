import type { FailureDomainId } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import listSchedulerCandidates from './listSchedulerCandidates';

/** Lists the first `count` candidates for the scheduler of each failure domain. */
export default function listDomainCandidates(
  hosts: readonly PeerAddress[],
  count: number,
): readonly PeerAddress[] {
  const membersByDomain = new Map<FailureDomainId, PeerAddress[]>();
  hosts.forEach((host) => {
    const members = membersByDomain.get(host.failureDomain) ?? [];
    members.push(host);
    membersByDomain.set(host.failureDomain, members);
  });
  return [...membersByDomain.values()].flatMap((members) =>
    listSchedulerCandidates({ self: members[0]!, peers: members }).slice(0, count),
  );
}
