import type { FailureDomainId, PoolId } from '@rattanreel/core';
import type { MembershipView } from '@rattanreel/membership';
import type { RemotePool } from '@rattanreel/scheduling';

/** Lists the capacity of a pool that the other failure domains last reported. */
export default function listRemotePools(
  view: MembershipView,
  pool: PoolId,
  failureDomain: FailureDomainId,
): readonly RemotePool[] {
  return view.domains
    .filter((domain) => domain.failureDomain !== failureDomain)
    .flatMap((domain) =>
      domain.rooms
        .filter((capacity) => capacity.pool === pool)
        .map((capacity) => ({
          failureDomain: domain.failureDomain,
          summaryAge: capacity.age,
          spareTokens: capacity.spareTokens,
          queuedTokens: capacity.queuedTokens,
          drained: capacity.drained,
        })),
    );
}
