import type { Milliseconds } from '@rattanreel/core';
import type { PeerCustomerUse, QueuedRequest, ShareKey } from '../types';
import getShareKey from './getShareKey';
import selectLargest from './selectLargest';
import WAITING_TIME_TO_LIVE from './waitingTimeToLive';
import type { ShareTerms, SlotShares } from './types';

/** What peers reported is dropped after this time; hosts send a message at least every 200 ms. */
const USE_TTL: Milliseconds = 1_000;
const NO_USE: PeerCustomerUse = { inUse: new Map(), waiting: new Map() };

interface SlotSharesOptions extends Omit<ShareTerms, 'hasCustomers'> {
  readonly now: () => Milliseconds;
}

function isSameTier(left: ShareKey, right: ShareKey): boolean {
  return left.slice(0, left.indexOf(' ')) === right.slice(0, right.indexOf(' '));
}

/** Counts the requests by share key that were not refused before. */
function countFresh(queued: readonly QueuedRequest[]): ReadonlyMap<ShareKey, number> {
  const counts = new Map<ShareKey, number>();
  queued
    .filter(({ priority }) => !priority.isReturning)
    .map(getShareKey)
    .forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return counts;
}

/**
 * Counts the slots in use by customer, exactly for this host and as last reported for the others.
 * By Little's law the slots in use measure the work of a customer: long responses hold their slots
 * for longer. Handles one customer that asks for many times its share: the customer that uses the
 * fewest slots for its weight goes first, so idle shares are lent out, and are returned with the
 * next slot that is released.
 */
export default function createSlotShares(options: SlotSharesOptions): SlotShares {
  const { getWeight, getTierRank, now } = options;
  const ownUse = new Map<ShareKey, number>();
  let received = { use: NO_USE, at: -Infinity };

  function getPeerUse(timeToLive: Milliseconds): PeerCustomerUse {
    return now() - received.at < timeToLive ? received.use : NO_USE;
  }

  function getUse(key: ShareKey): number {
    return (ownUse.get(key) ?? 0) + (getPeerUse(USE_TTL).inUse.get(key) ?? 0);
  }

  function getLevel(key: ShareKey): number {
    return getUse(key) / getWeight(key);
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
      received = { use, at: now() };
    },
    getLevel,
    getState(key, waiting) {
      const keys = new Set([
        ...ownUse.keys(),
        ...getPeerUse(USE_TTL).inUse.keys(),
        ...waiting,
        key,
      ]);
      const competing = [...keys].filter((other) => isSameTier(other, key));
      const weights = competing.reduce((sum, other) => sum + getWeight(other), 0);
      const used = competing.reduce((sum, other) => sum + getUse(other), 0);
      return { share: getWeight(key) / weights, use: used === 0 ? 0 : getUse(key) / used };
    },
    getLargestUse() {
      const keys = new Set([...ownUse.keys(), ...getPeerUse(USE_TTL).inUse.keys()]);
      const uses = [...keys].map(getUse);
      const sum = uses.reduce((total, use) => total + use, 0);
      return sum === 0 ? 0 : Math.max(...uses) / sum;
    },
    summarize: (queued) => ({
      ...selectLargest(ownUse),
      waiting: selectLargest(countFresh(queued)).largest,
    }),
    countPeersAhead(request) {
      const key = getShareKey(request);
      const rank = getTierRank(key);
      const level = getLevel(key);
      let count = 0;
      getPeerUse(WAITING_TIME_TO_LIVE).waiting.forEach((waiting, other) => {
        if (other !== key && getTierRank(other) <= rank) {
          const below = Math.floor((level - getLevel(other)) * getWeight(other));
          count += Math.min(waiting, Math.max(below, 0));
        }
      });
      return count;
    },
  };
}
