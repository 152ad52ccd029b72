import type { PlatformClient } from '@rattanreel/platform';
import type { MembershipTask } from '../types';

/** Passes the platform's lagging list of hosts on to the membership; delegates only ask, so that calls grow with domains. */
export default async function reportListedHosts(
  store: PlatformClient,
  membership: Pick<MembershipTask, 'handle' | 'self' | 'view'>,
): Promise<void> {
  if (!membership.view().isDelegate) {
    return;
  }
  const listed = await store.listHosts();
  const entryHosts = listed.kind === 'ok' ? listed.value.map(({ id }) => id) : [];
  // A list without this host names its hosts in another way, and says nothing about the others.
  if (entryHosts.includes(membership.self().entryHost)) {
    membership.handle({ kind: 'hostsListed', entryHosts });
  }
}
