import digestOfMembers from './digestOfMembers';
import type { MemberLists, MembershipContext } from './types';

const REQUEST_INTERVAL = 1_000;

/** Lists of other domains' members: asked for only when a digest shows that one has changed. */
export default function createMemberLists(context: MembershipContext): MemberLists {
  const { directory, periodic } = context;
  return {
    request(from, address, now) {
      const self = context.self();
      directory
        .outdated()
        .filter((failureDomain) => periodic.isDue(`list ${failureDomain}`, REQUEST_INTERVAL, now))
        .forEach((failureDomain) =>
          context.send(
            from,
            {
              kind: 'domainMembersRequested',
              from: self.entryHost,
              fromAddress: self.address,
              failureDomain,
            },
            address,
          ),
        );
    },
    answer({ from, fromAddress, failureDomain }) {
      const members = context.membersOf(failureDomain);
      const digest = digestOfMembers(members);
      const self = context.self().entryHost;
      context.send(
        from,
        { kind: 'domainMembersSent', from: self, failureDomain, digest, members },
        fromAddress,
      );
    },
  };
}
