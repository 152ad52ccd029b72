import type { PlatformClient } from '@rattanreel/platform';
import type { MembershipTask } from '../types';

/**
 * Passes the platform's host list, which lags, to the membership. Only delegates fetch it, so that
 * the number of calls grows with the failure domains and not with the hosts.
 */
export default async function reportListedHosts(
  store: PlatformClient,
  membership: Pick<MembershipTask, 'handle' | 'self' | 'view'>,
): Promise<void> {
  if (!membership.view().isDelegate) {
    return;
  }
  const listed = await store.listHosts();
  const entryHosts = listed.kind === 'ok' ? listed.value.map(({ id }) => id) : [];
  // A list without this host names hosts differently, so it cannot be compared with the members.
  if (entryHosts.includes(membership.self().entryHost)) {
    membership.handle({ kind: 'hostsListed', entryHosts });
  }
}
