import type { MembershipView } from '@rattanreel/membership';
import type { OrderOwner } from '@rattanreel/orders';

/** Lists the other live incarnations of this failure domain and of the known remote ones. */
export default function listOtherIncarnations(view: MembershipView): readonly OrderOwner[] {
  const remoteMembers = view.domains
    .filter(({ failureDomain }) => failureDomain !== view.self.failureDomain)
    .flatMap(({ members }) => members);
  return [...view.members, ...remoteMembers]
    .filter(({ entryHost }) => entryHost !== view.self.entryHost)
    .map(({ entryHost, incarnation }) => ({ entryHost, incarnation }));
}
