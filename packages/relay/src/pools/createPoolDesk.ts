import type {
  BackendServerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Random,
  Clock,
  TierRank,
} from '@rattanreel/core';
import chooseServer from '../decisions/chooseServer';
import createMovingMean from '../decisions/createMovingMean';
import createPlaceShares from '../decisions/createPlaceShares';
import type { PlaceClaim, PlaceCounts } from '../decisions/createPlaceShares';
import createRepeatBudget from '../decisions/createRepeatBudget';
import mustYield from '../decisions/mustYield';
import getOccupancy from '../decisions/getOccupancy';
import createWaitingLine from '../decisions/createWaitingLine';
import type { PoolSettings, RelayBounds, ServerAccount, WaitingRequest } from '../types';
import type { ServerAccounts } from './createServerAccounts';
import noteAttempt from './noteAttempt';
import type { PoolMeans } from './noteAttempt';
import type { PoolDesk } from './types';

/** Time between two looks at requests that wait; covers what no message announces. */
const LOOK_INTERVAL: Milliseconds = 20;
const MEAN_WEIGHT = 0.05;
const FIRST_DATA_GUESS: Milliseconds = 120;
const DURATION_GUESS: Milliseconds = 400;
const GAP_GUESS: Milliseconds = 30;
const WHOLE_GUESS: Milliseconds = 60;
/** Refused requests return after this part of their time at the earliest, spread up to twice that. */
const RETRY_PART = 1 / 6;
const SHORTEST_RETRY: Milliseconds = 100;

export interface PoolDeskOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly bounds: RelayBounds;
  readonly accounts: ServerAccounts;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
  readonly getSettings: () => PoolSettings | undefined;
  /** Told when the requests in flight change. */
  readonly onChange: () => void;
  /** Time between two requests of this host to a cold server. */
  readonly getColdInterval: (server: BackendServerId, rate: number) => Milliseconds;
}

/** Orders a pool's requests before dispatch, so that the servers' own queues stay short. */
export default function createPoolDesk(options: PoolDeskOptions): PoolDesk {
  const { clock, random, ownDomain, bounds, accounts } = options;
  const means: PoolMeans = {
    chunkGap: createMovingMean({ initial: GAP_GUESS, weight: MEAN_WEIGHT }),
    wholeTime: createMovingMean({ initial: WHOLE_GUESS, weight: MEAN_WEIGHT }),
    firstData: createMovingMean({ initial: FIRST_DATA_GUESS, weight: MEAN_WEIGHT }),
    duration: createMovingMean({ initial: DURATION_GUESS, weight: MEAN_WEIGHT }),
  };
  const line = createWaitingLine({ getExpectedTime: means.firstData.get });
  const budget = createRepeatBudget({
    ratio: bounds.repeatRatio,
    window: bounds.repeatWindow,
    slack: bounds.repeatSlack,
  });
  const shares = createPlaceShares();
  const ownByTier = new Map<TierRank, number>();
  let othersByTier: ReadonlyMap<TierRank, number> = new Map();
  let othersWaiting: ReadonlyMap<number, number> = new Map();
  let hosts = 1;
  let isLooking = false;

  function getColdInterval(account: ServerAccount): Milliseconds {
    return options.getColdInterval(account.listed.id, options.getSettings()?.coldRate ?? 0);
  }

  /** Gives servers found cold a first time of sending, spread so that hosts do not begin together. */
  function prepareCold(account: ServerAccount, now: Milliseconds): void {
    if (account.coldUntil <= now) {
      account.nextColdAt = undefined;
    } else {
      account.nextColdAt ??= now + random.next() * getColdInterval(account);
    }
  }

  function chooseFor(request: WaitingRequest): ServerAccount | undefined {
    const now = clock.now();
    accounts.byId.forEach((account) => prepareCold(account, now));
    return chooseServer({
      accounts: [...accounts.byId.values()],
      now,
      random,
      ownDomain,
      evacuated: options.getEvacuated(),
      avoid: request.avoid,
    });
  }

  function addOwn(tier: TierRank, change: 1 | -1): void {
    ownByTier.set(tier, (ownByTier.get(tier) ?? 0) + change);
    options.onChange();
  }

  function take(server: ServerAccount, tier: TierRank): void {
    const now = clock.now();
    server.own += 1;
    addOwn(tier, 1);
    if (server.coldUntil > now) {
      server.nextColdAt = now + getColdInterval(server);
    }
  }

  function isUsable({ listed, avoidedUntil }: ServerAccount, now: Milliseconds): boolean {
    return (
      !listed.isDraining && !options.getEvacuated().has(listed.failureDomain) && avoidedUntil <= now
    );
  }

  function countPlaces(): PlaceCounts {
    const now = clock.now();
    let places = 0;
    let taken = 0;
    accounts.byId.forEach((account) => {
      if (isUsable(account, now)) {
        places += account.listed.slots;
        taken += Math.min(getOccupancy(account, now), account.listed.slots);
      }
    });
    const getTakenBy = (tier: TierRank): number =>
      (ownByTier.get(tier) ?? 0) + (othersByTier.get(tier) ?? 0);
    return { places, taken, getTakenBy };
  }

  /** The request to serve next: of a tier below its floor first, then by rank. */
  function tryFindNext(): WaitingRequest | undefined {
    const counts = countPlaces();
    const claims = new Map<TierRank, PlaceClaim>();
    const judge = (tier: TierRank): PlaceClaim => {
      const claim = claims.get(tier) ?? shares.judge(tier, counts);
      claims.set(tier, claim);
      return claim;
    };
    const belowFloor = line.tryFind((tier) => judge(tier) === 'belowFloor');
    if (belowFloor !== undefined) {
      return belowFloor;
    }
    const next = line.tryFind((tier) => judge(tier) !== 'kept');
    const freePlaces = counts.places - counts.taken;
    const isYielding =
      next !== undefined && mustYield({ rank: next.urgency.rank, freePlaces, othersWaiting });
    return isYielding ? undefined : next;
  }

  function serveNext(): boolean {
    const request = line.size === 0 ? undefined : tryFindNext();
    const server = request === undefined ? undefined : chooseFor(request);
    if (request === undefined || server === undefined) {
      return false;
    }
    line.remove(request);
    take(server, request.urgency.tier);
    request.onGranted(server);
    return true;
  }

  function lookLater(): void {
    if (isLooking || line.size === 0) {
      return;
    }
    isLooking = true;
    clock.after(LOOK_INTERVAL, () => {
      isLooking = false;
      pump();
    });
  }

  function pump(): void {
    line.takeLate(clock.now()).forEach((request) => request.onRefused('expectedLate'));
    while (serveNext()) {
      // Serves until no request or no place is left.
    }
    lookLater();
  }

  function countOwn(): number {
    return [...ownByTier.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Expected wait of a request of this rank that comes now. */
  function getExpectedWait(rank: number): Milliseconds {
    // Under load a host refills the places that its own requests leave.
    const places = Math.max(countPlaces().places / hosts, countOwn());
    return places === 0 ? Infinity : line.sumAhead(rank, shares.getDuration) / places;
  }

  return {
    get waiting() {
      return line.size;
    },
    describe({ rank, tier }) {
      const { places, taken, getTakenBy } = countPlaces();
      const expectedWait = Math.round(getExpectedWait(rank));
      return { waiting: line.size, places, taken, takenByTier: getTakenBy(tier), expectedWait };
    },
    getOwnByTier: () => ownByTier,
    getWaitingByRank: line.countByRank,
    get accounts() {
      return accounts.byId;
    },
    ask(request) {
      const now = clock.now();
      const { rank, serveBy } = request.urgency;
      const allowance = serveBy - now - means.firstData.get();
      const wait = line.size === 0 ? 0 : getExpectedWait(rank);
      if (wait > allowance) {
        return { kind: 'refused', reason: 'expectedLate' };
      }
      if (accounts.byId.size === 0) {
        return { kind: 'refused', reason: 'noServer' };
      }
      line.add(request);
      pump();
      options.onChange();
      return { kind: 'waiting' };
    },
    withdraw: (request) => line.remove(request),
    noteEnded(server, tier, figures) {
      server.own -= 1;
      addOwn(tier, -1);
      if (figures.end.kind === 'whole') {
        shares.noteDuration(tier, figures.duration);
      }
      noteAttempt({ account: server, figures, means, now: clock.now() });
      pump();
    },
    noteLoad(server, running, waiting) {
      server.reportedOthers = Math.max(running + waiting - server.own, 0);
      server.reportedAt = clock.now();
    },
    tryRepeat: () => budget.tryRepeat(clock.now()),
    noteRequest: () => budget.noteRequest(clock.now()),
    getRetryAfter({ deadlineAt }) {
      const part = Math.max((deadlineAt - clock.now()) * RETRY_PART, SHORTEST_RETRY);
      return part * (1 + random.next());
    },
    setOthers(inFlight, byTier, waiting) {
      othersByTier = byTier;
      othersWaiting = waiting;
      accounts.byId.forEach((account, id) => {
        account.others = inFlight.get(id) ?? 0;
      });
      pump();
    },
    setHosts(next: readonly EntryHostId[]) {
      hosts = Math.max(next.length, 1);
      budget.setHosts(hosts);
    },
    pump,
  };
}
