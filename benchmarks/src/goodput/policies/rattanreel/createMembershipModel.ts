import type { EntryHostIncarnation } from '@rattanreel/scheduling';
import type { SimulatedHost, World } from '../../types';
import type { MembershipModel } from './types';

const DETECTION_MILLISECONDS = 1_000;
const JOIN_MILLISECONDS = 300;

interface MembershipOptions {
  readonly world: World;
  onChange(dead: readonly EntryHostIncarnation[]): void;
}

interface SimulatedMembership extends MembershipModel {
  removeAfterDetection(host: SimulatedHost): void;
  addAfterJoin(host: SimulatedHost): void;
}

/**
 * Models the members as heartbeats show them: a dead host is removed and a started host is added
 * after a delay.
 */
export default function createMembershipModel(options: MembershipOptions): SimulatedMembership {
  const { world } = options;
  let members = world.hosts.map((host) => ({ host, incarnation: host.incarnation }));

  const toMember = ({ host, incarnation }: (typeof members)[number]): EntryHostIncarnation => ({
    entryHost: host.id,
    incarnation,
  });

  return {
    getAliveIn: (failureDomain) =>
      members.filter(({ host }) => host.failureDomain === failureDomain).map(toMember),
    getAll: () => members.map(toMember),
    removeAfterDetection(host) {
      const { incarnation } = host;
      world.clock.after(DETECTION_MILLISECONDS, () => {
        members = members.filter((member) => member.incarnation !== incarnation);
        options.onChange([{ entryHost: host.id, incarnation }]);
      });
    },
    addAfterJoin(host) {
      world.clock.after(JOIN_MILLISECONDS, () => {
        members = [...members, { host, incarnation: host.incarnation }].sort((left, right) =>
          left.host.id < right.host.id ? -1 : 1,
        );
        options.onChange([]);
      });
    },
  };
}
