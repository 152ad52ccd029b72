import type { VersionId } from '@rattanreel/core';
import type { VersionShare } from '../types';
import type { VersionShares } from './types';

const OVERFLOW_SHARE = 0.5;
const CREDIT_LIMIT_REQUESTS = 4;
const COST_SAMPLE_WEIGHT = 0.05;

interface Account {
  share: number;
  credit: number;
}

/**
 * Credits each version with its share of the tokens offered and debits the tokens granted, so that
 * a version never gets more than its share and one request. A version with at least half of the
 * traffic also gets what the others cannot take.
 */
export default function createVersionShares(): VersionShares {
  let accounts = new Map<VersionId, Account>();
  const vetoedShares = new Map<VersionId, number>();
  let meanCost = 0;

  function getEffectiveShare(entry: VersionShare): number {
    const shareAtVeto = vetoedShares.get(entry.version);
    if (shareAtVeto === undefined) {
      return entry.share;
    }
    if (shareAtVeto === entry.share) {
      return 0;
    }
    vetoedShares.delete(entry.version);
    return entry.share;
  }

  return {
    hasShare: (version) => accounts.size === 0 || (accounts.get(version)?.share ?? 0) > 0,
    isAllowed(version) {
      if (accounts.size === 0) {
        return true;
      }
      const account = accounts.get(version);
      if (account === undefined || account.share <= 0) {
        return false;
      }
      return account.share >= OVERFLOW_SHARE || account.credit > 0;
    },
    getCredit(version) {
      const account = accounts.get(version);
      return account === undefined || account.share <= 0 ? 0 : account.credit / account.share;
    },
    recordOffered(tokens) {
      meanCost += COST_SAMPLE_WEIGHT * (tokens - meanCost);
      accounts.forEach((account) => {
        const limit = Math.max(tokens, meanCost * CREDIT_LIMIT_REQUESTS);
        account.credit = Math.min(limit, account.credit + account.share * tokens);
      });
    },
    recordGranted(version, tokens) {
      const account = accounts.get(version);
      if (account !== undefined) {
        const floor = -CREDIT_LIMIT_REQUESTS * Math.max(tokens, meanCost);
        const isOverflow = account.share >= OVERFLOW_SHARE;
        const next = account.credit - tokens;
        account.credit = isOverflow ? Math.max(floor, next) : next;
      }
    },
    configure(shares) {
      const previous = accounts;
      accounts = new Map();
      shares.forEach((entry) => {
        const share = getEffectiveShare(entry);
        const existing = previous.get(entry.version);
        const credit = existing !== undefined && existing.share === share ? existing.credit : 0;
        accounts.set(entry.version, { share, credit });
      });
    },
    veto(version) {
      const account = accounts.get(version);
      if (account !== undefined && account.share > 0) {
        vetoedShares.set(version, account.share);
        account.share = 0;
        account.credit = 0;
      }
    },
  };
}
