import type { EntryHostId, FailureDomainId, PoolId } from '@rattanreel/core';
import type { MembershipTask } from '../types';

/** Lists the hosts in a pool's move: delegates and the pool's schedulers of all failure domains. */
export default function listParticipants(
  membership: Pick<MembershipTask, 'view' | 'tryGetScheduler'>,
  failureDomains: readonly FailureDomainId[],
  pool: PoolId,
): ReadonlySet<EntryHostId> {
  const view = membership.view();
  const delegates = [...view.delegates, ...view.domains.flatMap((domain) => domain.delegates)];
  const schedulers = failureDomains.flatMap(
    (domain) => membership.tryGetScheduler(pool, domain)?.entryHost ?? [],
  );
  return new Set([...delegates, ...schedulers]);
}
