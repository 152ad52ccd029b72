import type { ShareKey } from '../types';
import selectLargestUsers from './selectLargestUsers';
import type { SlotShares } from './types';

interface SlotSharesOptions {
  readonly getWeight: (key: ShareKey) => number;
}

function isSameTier(left: ShareKey, right: ShareKey): boolean {
  return left.slice(0, left.indexOf(' ')) === right.slice(0, right.indexOf(' '));
}

/**
 * Counts the slots in use by customer, exactly for this host and as last reported for the others.
 * By Little's law the slots in use measure the work of a customer: long responses hold their slots
 * for longer. Handles one customer that asks for many times its share: the customer that uses the
 * fewest slots for its weight goes first, so idle shares are lent out, and are returned with the
 * next slot that is released.
 */
export default function createSlotShares({ getWeight }: SlotSharesOptions): SlotShares {
  const ownUse = new Map<ShareKey, number>();
  let peerUse: ReadonlyMap<ShareKey, number> = new Map();

  function getUse(key: ShareKey): number {
    return (ownUse.get(key) ?? 0) + (peerUse.get(key) ?? 0);
  }

  return {
    recordGrant: (key) => ownUse.set(key, (ownUse.get(key) ?? 0) + 1),
    recordRelease(key) {
      const left = (ownUse.get(key) ?? 0) - 1;
      if (left > 0) {
        ownUse.set(key, left);
      } else {
        ownUse.delete(key);
      }
    },
    setPeerUse(use) {
      peerUse = use;
    },
    getLevel: (key) => getUse(key) / getWeight(key),
    getState(key, waiting) {
      const keys = new Set([...ownUse.keys(), ...peerUse.keys(), ...waiting, key]);
      const competing = [...keys].filter((other) => isSameTier(other, key));
      const weights = competing.reduce((sum, other) => sum + getWeight(other), 0);
      const used = competing.reduce((sum, other) => sum + getUse(other), 0);
      return { share: getWeight(key) / weights, use: used === 0 ? 0 : getUse(key) / used };
    },
    getOwnUse: () => selectLargestUsers(ownUse),
  };
}
