import type { EntryHostId, FailureDomainId, PoolId } from '@rattanreel/core';
import type { MembershipTask } from '../types';

/** Entry hosts that take part in a pool's move: delegates and the pool's schedulers, of every failure domain. */
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
