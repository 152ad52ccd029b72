import type { BackendServerId, Milliseconds, Random, TierRank } from '@rattanreel/core';
import assessServers from '../decisions/assessServers';
import chooseServer from '../decisions/chooseServer';
import getOccupancy from '../decisions/getOccupancy';
import hasRoom from '../decisions/hasRoom';
import isReadyServer from '../decisions/isReadyServer';
import isUsableServer from '../decisions/isUsableServer';
import type { ChooseServerOptions, ServerAssessment, SlotCounts } from '../decisions/types';
import isDue from '../limits/isDue';
import createServableCheck from '../speed/createServableCheck';
import type { ServerState, QueuedRequest } from '../types';
import type { SlotTrackerOptions } from './types';

interface SlotTracker {
  /** Counts the slots of usable servers, and those in use by all hosts. */
  countSlots(): SlotCounts;
  /**
   * Returns whether any server has a free slot. Called many times a second, so it stops at the
   * first.
   */
  hasFreeSlot(): boolean;
  /**
   * Creates a check, valid at this moment, whether `selectServer` finds a server for a request that
   * excludes none. It examines the servers once, however many requests are checked.
   */
  createServableCheck(): (request: QueuedRequest) => boolean;
  /** Selects the server for a request; undefined if none has a free slot for it. */
  selectServer(request: QueuedRequest): ServerState | undefined;
  /** Returns what `selectServer` sees of each server. */
  assessServers(request: QueuedRequest): readonly ServerAssessment[];
  /**
   * Creates a tracker on copies of the servers' states, which decides as this one would with these
   * random numbers and changes nothing here.
   */
  createSnapshot(random: Random): SlotTracker;
  acquireSlot(server: ServerState, tier: TierRank): void;
  releaseSlot(server: ServerState, tier: TierRank): void;
  /** Counts this host's requests in flight. */
  countOwnInFlight(): number;
  getOwnInFlightByTier(): ReadonlyMap<TierRank, number>;
  setPeerLoad(
    inFlight: ReadonlyMap<BackendServerId, number>,
    byTier: ReadonlyMap<TierRank, number>,
  ): void;
}

const MILLISECONDS_PER_SECOND = 1_000;
/** Share of slots in use from which on peers must be informed of each change at once. */
const SCARCE_UTILIZATION = 0.6;

/** Requests in flight by tier. */
interface TierCounts {
  readonly own: ReadonlyMap<TierRank, number>;
  readonly peers: ReadonlyMap<TierRank, number>;
}

function createSnapshotOptions(options: SlotTrackerOptions, random: Random): SlotTrackerOptions {
  const copies = [...options.serverStates.byId].map(([id, server]) => [id, { ...server }] as const);
  return {
    ...options,
    random,
    serverStates: { byId: new Map(copies) },
    rollouts: { ...options.rollouts, recordGrant: () => undefined },
    onInFlightChange: () => undefined,
  };
}

/** Tracks the slots of a pool's servers: exactly for this host, as last reported for the others. */
export default function createSlotTracker(
  options: SlotTrackerOptions,
  initial: TierCounts = { own: new Map(), peers: new Map() },
): SlotTracker {
  const { clock, random, ownDomain, serverStates } = options;
  const ownInFlightByTier = new Map(initial.own);
  let peerInFlightByTier = initial.peers;

  function getColdRequestInterval(server: ServerState): Milliseconds {
    return options.getColdRequestInterval(server.listed.id, options.getSettings()?.coldRate ?? 0);
  }

  /**
   * Sets the time of the first request to a cold server, with a random delay so that hosts do not
   * all start at once.
   */
  function scheduleColdRequests(server: ServerState, now: Milliseconds): void {
    if (server.coldUntil <= now) {
      server.nextColdRequestAt = undefined;
    } else {
      server.nextColdRequestAt ??= now + random.next() * getColdRequestInterval(server);
    }
  }

  /** Updates what the server lets this host send. */
  function updateAllowance(server: ServerState): void {
    server.pacing = options.getPacing(server, random);
    server.ownSlots = options.getOwnSlots(server);
  }

  function listServers(now: Milliseconds): readonly ServerState[] {
    const servers = [...serverStates.byId.values()];
    servers.forEach((server) => {
      scheduleColdRequests(server, now);
      updateAllowance(server);
    });
    return servers;
  }

  function mayTry({ listed }: ServerState): boolean {
    return options.rollouts.mayTry(listed);
  }

  function getSlowness(server: ServerState, now: Milliseconds): number {
    return server.slowness * options.speeds.getSlowdown(server.listed.id, now);
  }

  function getChoice(request: QueuedRequest): ChooseServerOptions {
    const now = clock.now();
    return {
      servers: listServers(now),
      embargo: options.embargo,
      now,
      random,
      ownDomain,
      evacuated: options.getEvacuated(),
      excludedServers: request.excludedServers,
      mayTry,
      getSlowdown: ({ listed }) => options.speeds.getSlowdown(listed.id, now),
      canMeetDeadline: (server) => options.canMeetDeadline(getSlowness(server, now), request),
    };
  }

  function createCheck(): (request: QueuedRequest) => boolean {
    const now = clock.now();
    const evacuated = options.getEvacuated();
    const { embargo, canMeetDeadline } = options;
    return createServableCheck({
      usable: listServers(now).filter((server) =>
        isReadyServer(server, { now, evacuated, embargo, mayTry }),
      ),
      now,
      getSlowness: (server) => getSlowness(server, now),
      canMeetDeadline,
    });
  }

  function isCapacityScarce(): boolean {
    const { total, inUse } = countSlots();
    return inUse >= total * SCARCE_UTILIZATION;
  }

  function updateOwnInFlight(tier: TierRank, change: 1 | -1): void {
    ownInFlightByTier.set(tier, (ownInFlightByTier.get(tier) ?? 0) + change);
    options.onInFlightChange(isCapacityScarce());
  }

  function acquireSlot(server: ServerState, tier: TierRank): void {
    const now = clock.now();
    server.ownInFlight += 1;
    options.rollouts.recordGrant(server.listed);
    updateOwnInFlight(tier, 1);
    if (server.coldUntil > now) {
      server.nextColdRequestAt = now + getColdRequestInterval(server);
    }
    const pacing = options.getPacing(server, random);
    server.pacing = pacing && {
      ...pacing,
      nextAt: Math.min(pacing.nextAt, now) + pacing.interval,
    };
  }

  /**
   * Returns the slots of a server that requests can hold on average within its limit, as slots of
   * a server of usual speed.
   */
  function getSustainedSlots({ listed, pacing }: ServerState): number {
    const held = (pacing?.rate ?? Infinity) * (options.getMeanDuration() / MILLISECONDS_PER_SECOND);
    return Math.min(listed.slots / options.speeds.getSlowdown(listed.id, clock.now()), held);
  }

  function countSlots(): SlotCounts {
    const now = clock.now();
    const evacuated = options.getEvacuated();
    let total = 0;
    let inUse = 0;
    let sustained = 0;
    serverStates.byId.forEach((server) => {
      const isCounted = options.rollouts.getUse(server.listed) === 'free';
      if (isCounted && isUsableServer(server, { now, evacuated, embargo: options.embargo })) {
        total += server.listed.slots;
        inUse += Math.min(getOccupancy(server, now), server.listed.slots);
        sustained += getSustainedSlots(server);
      }
    });
    const getTierInUse = (tier: TierRank): number =>
      (ownInFlightByTier.get(tier) ?? 0) + (peerInFlightByTier.get(tier) ?? 0);
    return { total, inUse, sustained, getTierInUse };
  }

  function hasFreeSlot(): boolean {
    const now = clock.now();
    const evacuated = options.getEvacuated();
    return [...serverStates.byId.values()].some((server) => {
      updateAllowance(server);
      return (
        hasRoom(server, now) &&
        isDue(server, now) &&
        isUsableServer(server, { now, evacuated, embargo: options.embargo })
      );
    });
  }

  return {
    hasFreeSlot,
    countSlots,
    createServableCheck: createCheck,
    selectServer: (request) => chooseServer(getChoice(request)),
    assessServers: (request) => assessServers(getChoice(request)),
    createSnapshot: (ownRandom) =>
      createSlotTracker(createSnapshotOptions(options, ownRandom), {
        own: ownInFlightByTier,
        peers: peerInFlightByTier,
      }),
    acquireSlot,
    releaseSlot(server, tier) {
      server.ownInFlight -= 1;
      updateOwnInFlight(tier, -1);
    },
    countOwnInFlight: () => [...ownInFlightByTier.values()].reduce((sum, count) => sum + count, 0),
    getOwnInFlightByTier: () => ownInFlightByTier,
    setPeerLoad(inFlight, byTier) {
      peerInFlightByTier = byTier;
      serverStates.byId.forEach((server, id) => {
        server.peerInFlight = inFlight.get(id) ?? 0;
      });
    },
  };
}
