import type { BackendServerId, Milliseconds, TierRank } from '@rattanreel/core';
import chooseServer from '../decisions/chooseServer';
import getOccupancy from '../decisions/getOccupancy';
import isUsableServer from '../decisions/isUsableServer';
import type { PlaceCounts } from '../decisions/types';
import type { ServerAccount, WaitingRequest } from '../types';
import type { PlaceLedgerOptions } from './types';

interface PlaceLedger {
  /** Places of usable servers over all hosts, and how many are taken. */
  countPlaces(): PlaceCounts;
  /** Whether any server has room; asked many times a second, so it stops at the first. */
  hasRoom(): boolean;
  /** The server to which a request goes now; undefined when none has room for it. */
  choose(request: WaitingRequest): ServerAccount | undefined;
  take(server: ServerAccount, tier: TierRank): void;
  giveBack(server: ServerAccount, tier: TierRank): void;
  /** Places that this host's requests take. */
  countOwn(): number;
  getOwnByTier(): ReadonlyMap<TierRank, number>;
  setOthers(
    inFlight: ReadonlyMap<BackendServerId, number>,
    byTier: ReadonlyMap<TierRank, number>,
  ): void;
}

/** Part of the places taken from which on hosts must know of each change at once. */
const SCARCE_PART = 0.6;

/** Keeps account of the places at a pool's servers: this host's exactly, the others' as they tell. */
export default function createPlaceLedger(options: PlaceLedgerOptions): PlaceLedger {
  const { clock, random, ownDomain, accounts } = options;
  const ownByTier = new Map<TierRank, number>();
  let othersByTier: ReadonlyMap<TierRank, number> = new Map();

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

  function choose(request: WaitingRequest): ServerAccount | undefined {
    const now = clock.now();
    accounts.byId.forEach((account) => prepareCold(account, now));
    return chooseServer({
      accounts: [...accounts.byId.values()],
      hearsAll: options.hearsAll(),
      now,
      random,
      ownDomain,
      evacuated: options.getEvacuated(),
      avoid: request.avoid,
      endsInTime: (account) => options.endsInTime(account, request),
    });
  }

  function isScarce(): boolean {
    const { places, taken } = countPlaces();
    return taken >= places * SCARCE_PART;
  }

  function addOwn(tier: TierRank, change: 1 | -1): void {
    ownByTier.set(tier, (ownByTier.get(tier) ?? 0) + change);
    options.onChange(isScarce());
  }

  function take(server: ServerAccount, tier: TierRank): void {
    const now = clock.now();
    server.own += 1;
    addOwn(tier, 1);
    if (server.coldUntil > now) {
      server.nextColdAt = now + getColdInterval(server);
    }
  }

  /**
   * The servers whose places this host's shares are taken from. In a large fleet it hears what its own
   * failure domain has in flight, so it counts that domain's servers, while there are any.
   */
  function listCounted(now: Milliseconds): readonly ServerAccount[] {
    const evacuated = options.getEvacuated();
    const usable = [...accounts.byId.values()].filter((account) =>
      isUsableServer(account, { now, evacuated }),
    );
    const near = options.hearsAll()
      ? []
      : usable.filter(({ listed }) => listed.failureDomain === ownDomain);
    return near.length > 0 ? near : usable;
  }

  function countPlaces(): PlaceCounts {
    const now = clock.now();
    const hearsAll = options.hearsAll();
    let places = 0;
    let taken = 0;
    listCounted(now).forEach((account) => {
      places += account.listed.slots;
      taken += Math.min(getOccupancy(account, now, hearsAll), account.listed.slots);
    });
    const getTakenBy = (tier: TierRank): number =>
      (ownByTier.get(tier) ?? 0) + (othersByTier.get(tier) ?? 0);
    return { places, taken, getTakenBy };
  }

  function hasRoom(): boolean {
    const now = clock.now();
    const hearsAll = options.hearsAll();
    const evacuated = options.getEvacuated();
    return [...accounts.byId.values()].some(
      (account) =>
        getOccupancy(account, now, hearsAll) < account.listed.slots + account.extraPlaces &&
        isUsableServer(account, { now, evacuated }),
    );
  }

  return {
    hasRoom,
    countPlaces,
    choose,
    take,
    giveBack(server, tier) {
      server.own -= 1;
      addOwn(tier, -1);
    },
    countOwn: () => [...ownByTier.values()].reduce((sum, count) => sum + count, 0),
    getOwnByTier: () => ownByTier,
    setOthers(inFlight, byTier) {
      othersByTier = byTier;
      accounts.byId.forEach((account, id) => {
        account.others = inFlight.get(id) ?? 0;
      });
    },
  };
}
