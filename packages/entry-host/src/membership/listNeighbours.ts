import type { FailureDomainId, PoolId } from '@rattanreel/core';
import type { MembershipView } from '@rattanreel/membership';
import type { RemotePool } from '@rattanreel/scheduling';

/** What other failure domains last said of their room in a pool. */
export default function listNeighbours(
  view: MembershipView,
  pool: PoolId,
  failureDomain: FailureDomainId,
): readonly RemotePool[] {
  return view.domains
    .filter((domain) => domain.failureDomain !== failureDomain)
    .flatMap((domain) =>
      domain.rooms
        .filter((room) => room.pool === pool)
        .map((room) => ({
          failureDomain: domain.failureDomain,
          summaryAge: room.age,
          spareTokens: room.spareTokens,
          queuedTokens: room.queuedTokens,
          drained: room.drained,
        })),
    );
}
