import type { FailureDomainId } from '@rattanreel/core';
import type { MembershipContext } from './types';

/** Returns the failure domains that the settings name, without this host's own. */
export default function listOtherDomains({
  localState,
  failureDomain,
}: MembershipContext): readonly FailureDomainId[] {
  const names = new Set(localState.entryHosts.map((host) => host.failureDomain));
  names.delete(failureDomain);
  return [...names];
}
