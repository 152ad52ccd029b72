import type { Quota, RelayBounds } from '../types';

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Share of the burst that hosts use where no excess is allowed; the rest then covers what two hosts
 * spend before each receives the other's report.
 */
const USABLE_BURST_SHARE = 0.8;
/**
 * Parts of the allowed excess: for spending before the bucket has been filled (after a restart), for
 * what hosts spend before they hear of each other, and for the rate of a host that is silent for a
 * moment. They add up to less than the whole.
 */
const OVERDRAFT_PART = 0.45;
const UNHEARD_PART = 0.3;
const SILENCE_PART = 0.15;
/**
 * Part of the allowed excess that hosts whose share is smaller than a request may overdraw
 * together.
 */
const OVERDRAWN_SLACK_SHARE = 0.75;
/** The same where hosts may overdraw by OVERDRAFT_PART as well. */
const OVERDRAWN_SLACK_SHARE_BESIDE_OVERDRAFT = 0.5;

interface QuotaLimits {
  /** Returns the part of the excess for the rate of hosts that are silent for a moment. */
  getSilenceExcess(quota: Quota): number;
  getMaximumLevel(quota: Quota, share: number): number;
  /** Returns the level from which a request may be served; the level may become negative. */
  getRequiredLevel(options: {
    readonly quota: Quota;
    readonly cost: number;
    readonly share: number;
    readonly fleetHosts: number;
    readonly position: number;
  }): number;
  /** Returns what a host may spend before the others, `spenders` in number, have heard of it. */
  getUnheardLimit(
    bucket: {
      readonly quota: Quota;
      readonly level: number;
      readonly spent: number;
      readonly heard: number;
    },
    spenders: number,
  ): number;
}

/** Decides how far hosts may go beyond a quota, within what the settings allow. */
export default function createQuotaLimits(
  bounds: Pick<RelayBounds, 'quotaSlack' | 'quotaOver' | 'quotaWindow'>,
): QuotaLimits {
  /**
   * Returns by how much spending in a window may exceed the quota; 0 unless `quotaOver` is set. The
   * slack is in tokens, so it says nothing of quotas that count requests.
   */
  function getExcess(quota: Quota): number {
    const { quotaOver = 0, quotaWindow = 0, quotaSlack } = bounds;
    if (quotaOver === 0) {
      return 0;
    }
    const windowSeconds = quotaWindow / MILLISECONDS_PER_SECOND;
    return (
      quotaOver * (quota.ratePerSecond * windowSeconds + quota.burst) +
      (quota.countsTokens ? quotaSlack : 0)
    );
  }

  function getMaximumLevel(quota: Quota, share: number): number {
    const { burst } = quota;
    const kept = Math.max(burst * (1 - USABLE_BURST_SHARE) - getExcess(quota), 0);
    return (burst - kept) * share;
  }

  return {
    getSilenceExcess: (quota) => SILENCE_PART * getExcess(quota),
    getMaximumLevel,
    // A host on its own in a large fleet has a share smaller than one request: of those hosts, as
    // many may overdraw as the allowed excess covers.
    getRequiredLevel({ quota, cost, share, fleetHosts, position }) {
      const overdraft = OVERDRAFT_PART * getExcess(quota) * share;
      const half = Math.min(cost, getMaximumLevel(quota, 1)) / 2;
      const required = overdraft > 0 ? Math.min(half, cost - overdraft) : half;
      const available = getMaximumLevel(quota, share) / 2;
      const slackShare =
        overdraft > 0 ? OVERDRAWN_SLACK_SHARE_BESIDE_OVERDRAFT : OVERDRAWN_SLACK_SHARE;
      const overdrawingHosts = (bounds.quotaSlack * slackShare) / Math.max(cost, 1);
      const mayOverdraw = position < overdrawingHosts / fleetHosts;
      return mayOverdraw ? Math.min(required, available) : required;
    },
    // All hosts may spend at the same time: each its part of what is left of bucket and excess.
    getUnheardLimit({ quota, level, spent, heard }, spenders) {
      const excess = getExcess(quota);
      if (excess === 0 || spenders === 0) {
        return Infinity;
      }
      const levelBefore = level + spent - heard;
      const left = Math.max(levelBefore + OVERDRAFT_PART * excess, 0) + UNHEARD_PART * excess;
      return left / (spenders + 1);
    },
  };
}
