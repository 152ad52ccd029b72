import chooseOwner from './chooseOwner';
import chooseOwners from './chooseOwners';
import type { DomainMember, OwnerSelector } from './types';

const DELEGATE_COUNT = 2;
const DELEGATE_KEY = 'delegate';

/**
 * Chooses owners among the members that are not leaving, or among all members when every one is
 * leaving.
 */
export default function createOwnerSelector(): OwnerSelector {
  const delegates = new WeakMap<readonly DomainMember[], readonly DomainMember[]>();
  const owners = new WeakMap<readonly DomainMember[], Map<string, DomainMember | undefined>>();

  return {
    getDelegates(members) {
      let chosen = delegates.get(members);
      if (chosen === undefined) {
        chosen = chooseOwners(DELEGATE_KEY, excludeLeaving(members), DELEGATE_COUNT);
        delegates.set(members, chosen);
      }
      return chosen;
    },
    tryGetOwner(key, members) {
      let byKey = owners.get(members);
      if (byKey === undefined) {
        byKey = new Map();
        owners.set(members, byKey);
      }
      if (!byKey.has(key)) {
        byKey.set(key, chooseOwner(key, excludeLeaving(members)));
      }
      return byKey.get(key);
    },
  };
}

function excludeLeaving(members: readonly DomainMember[]): readonly DomainMember[] {
  const staying = members.filter(({ leaving }) => !leaving);
  return staying.length > 0 ? staying : members;
}
