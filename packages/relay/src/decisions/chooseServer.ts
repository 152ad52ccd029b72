import type { BackendServerId, FailureDomainId, Milliseconds, Random } from '@rattanreel/core';
import type { ServerAccount } from '../types';
import getOccupancy from './getOccupancy';
import isUsableServer from './isUsableServer';

/**
 * Added to a remote server's expected time, relative to an average request: bytes between failure
 * domains cost, and time within the objective does not, so a near server with room goes first.
 */
const REMOTE_PENALTY = 1;
/** Weight of the share of failed attempts: a server that fails half of them counts as three times as slow. */
const FAILURE_WEIGHT = 4;
/** Spread of the random part, so that hosts with the same view do not all choose the same server. */
const RANDOM_SPREAD = 0.15;

/** In a large fleet, what is known of a far server is half a second old: a place stays free for what came since. */
const FAR_SLACK = -1;

interface ChooseServerOptions {
  readonly accounts: readonly ServerAccount[];
  readonly now: Milliseconds;
  /** Whether the other hosts' requests in flight are all heard of. */
  readonly hearsAll?: boolean;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly avoid: ReadonlySet<BackendServerId>;
  /** Whether the request is expected to end in time at a server; ignored where no server is. */
  readonly endsInTime?: (account: ServerAccount) => boolean;
}

function isUsableNow(account: ServerAccount, options: ChooseServerOptions): boolean {
  const { now, avoid } = options;
  return (
    isUsableServer(account, options) &&
    !avoid.has(account.listed.id) &&
    (account.coldUntil <= now || (account.nextColdAt ?? Infinity) <= now)
  );
}

/** Requests beyond its places, or short of them, that a server may be given. */
function getSlack(account: ServerAccount, options: ChooseServerOptions): number {
  const isFar = account.listed.failureDomain !== options.ownDomain;
  return isFar && options.hearsAll === false ? FAR_SLACK : account.extraPlaces;
}

/** The backend server with room at which a request is expected to end first; undefined when none has room. */
export default function chooseServer(options: ChooseServerOptions): ServerAccount | undefined {
  const { now, random, endsInTime = () => true } = options;
  const usable = options.accounts.filter((account) => isUsableNow(account, options));
  const fit = usable.filter(endsInTime);
  let best: ServerAccount | undefined;
  let bestCost = Infinity;
  (fit.length > 0 ? fit : usable).forEach((account) => {
    const occupancy = getOccupancy(account, now, options.hearsAll ?? true);
    if (occupancy >= account.listed.slots + getSlack(account, options)) {
      return;
    }
    const crowding = 1 + occupancy / account.listed.slots;
    const remote = account.listed.failureDomain === options.ownDomain ? 0 : REMOTE_PENALTY;
    const failures = 1 + FAILURE_WEIGHT * account.failureShare;
    const cost = account.slowness * crowding * failures + remote + random.next() * RANDOM_SPREAD;
    if (cost < bestCost) {
      best = account;
      bestCost = cost;
    }
  });
  return best;
}
