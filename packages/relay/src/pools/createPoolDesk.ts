import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import createMovingMean from '../decisions/createMovingMean';
import createPlaceShares from '../decisions/createPlaceShares';
import RETRY_PART from '../decisions/retryPart';
import createRepeatBudget from '../decisions/createRepeatBudget';
import endsInTime from '../decisions/endsInTime';
import mustYield from '../decisions/mustYield';
import createWaitingLine from '../decisions/createWaitingLine';
import type { RelayBounds, ServerAccount, WaitingRequest } from '../types';
import noteAttempt from './noteAttempt';
import type { PlaceLedgerOptions, PoolDesk, PoolMeans } from './types';
import createPlaceLedger from './createPlaceLedger';

/** Time between two looks at requests that wait; covers what no message announces. */
const LOOK_INTERVAL: Milliseconds = 20;
const MEAN_WEIGHT = 0.05;
const FIRST_DATA_GUESS: Milliseconds = 120;
const GAP_GUESS: Milliseconds = 30;
const WHOLE_GUESS: Milliseconds = 60;
const SHORTEST_RETRY: Milliseconds = 100;

interface PoolDeskOptions extends Omit<PlaceLedgerOptions, 'endsInTime'> {
  readonly bounds: RelayBounds;
}

interface Grant {
  readonly request: WaitingRequest;
  readonly server: ServerAccount;
}

/** Orders a pool's requests before dispatch, so that the servers' own queues stay short. */
export default function createPoolDesk(options: PoolDeskOptions): PoolDesk {
  const { clock, random, bounds, accounts } = options;
  const means: PoolMeans = {
    chunkGap: createMovingMean({ initial: GAP_GUESS, weight: MEAN_WEIGHT }),
    wholeTime: createMovingMean({ initial: WHOLE_GUESS, weight: MEAN_WEIGHT }),
    firstData: createMovingMean({ initial: FIRST_DATA_GUESS, weight: MEAN_WEIGHT }),
    tokenTime: createMovingMean({ initial: 0, weight: MEAN_WEIGHT }),
  };
  const line = createWaitingLine({ getExpectedTime: means.firstData.get });
  const budget = createRepeatBudget({ bounds });
  const shares = createPlaceShares();
  const ledger = createPlaceLedger({
    ...options,
    endsInTime: ({ slowness }, { outputTokens, urgency }) =>
      endsInTime({
        outputTokens,
        firstData: means.firstData.get(),
        tokenTime: means.tokenTime.get(),
        slowness,
        timeLeft: urgency.deadlineAt - clock.now(),
      }),
  });
  let othersWaiting: ReadonlyMap<number, number> = new Map();
  let sharers = 1;
  let isLooking = false;

  /** Whether a request may take a place now, and at which server; the floor is judged first. */
  function tryFindNext(): Grant | undefined {
    if (!ledger.hasRoom()) {
      return undefined;
    }
    const counts = ledger.countPlaces();
    let server: ServerAccount | undefined;
    const canServe = (request: WaitingRequest): boolean => {
      server = ledger.choose(request);
      return server !== undefined;
    };
    const belowFloor = line.tryFindForFloor(
      (request) => shares.judge(request.urgency, counts) === 'belowFloor' && canServe(request),
    );
    if (belowFloor !== undefined && server !== undefined) {
      return { request: belowFloor, server };
    }
    const next = line.tryFind(
      (request) => shares.judge(request.urgency, counts) !== 'kept' && canServe(request),
    );
    if (next === undefined || server === undefined) {
      return undefined;
    }
    const freePlaces = counts.places - counts.taken;
    const isYielding = mustYield({ rank: next.urgency.rank, freePlaces, othersWaiting });
    return isYielding ? undefined : { request: next, server };
  }

  function serveNext(): boolean {
    const grant = line.size === 0 ? undefined : tryFindNext();
    if (grant === undefined) {
      return false;
    }
    const { request, server } = grant;
    line.remove(request);
    ledger.take(server, request.urgency.tier);
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

  /** Expected wait of a request of this rank that comes now. */
  function getExpectedWait(rank: number): Milliseconds {
    // Under load a host refills the places that its own requests leave.
    const places = Math.max(ledger.countPlaces().places / sharers, ledger.countOwn());
    return places === 0 ? Infinity : line.sumAhead(rank, shares.getDuration) / places;
  }

  return {
    get waiting() {
      return line.size;
    },
    describe({ rank, tier }) {
      const { places, taken, getTakenBy } = ledger.countPlaces();
      const expectedWait = Math.round(getExpectedWait(rank));
      return { waiting: line.size, places, taken, takenByTier: getTakenBy(tier), expectedWait };
    },
    getOwnByTier: ledger.getOwnByTier,
    getWaitingByRank: line.countByRank,
    ask(request) {
      const now = clock.now();
      const { rank, serveBy } = request.urgency;
      const allowance = serveBy - now - means.firstData.get();
      // A tier below its floor goes before all others, so their requests do not delay it.
      const isAhead =
        line.size === 0 || shares.judge(request.urgency, ledger.countPlaces()) === 'belowFloor';
      const wait = isAhead ? 0 : getExpectedWait(rank);
      if (wait > allowance) {
        return { kind: 'refused', reason: 'expectedLate' };
      }
      if (accounts.byId.size === 0) {
        return { kind: 'refused', reason: 'noServer' };
      }
      line.add(request);
      pump();
      options.onChange(true);
      return { kind: 'waiting' };
    },
    withdraw: (request) => line.remove(request),
    withdrawGranted(server, tier) {
      ledger.giveBack(server, tier);
      pump();
    },
    noteEnded(server, tier, figures) {
      ledger.giveBack(server, tier);
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
      othersWaiting = waiting;
      ledger.setOthers(inFlight, byTier);
      pump();
    },
    setHosts(next: readonly EntryHostId[], nextSharers: number) {
      sharers = Math.max(nextSharers, 1);
      budget.setHosts(Math.max(next.length, 1));
    },
    pump,
  };
}
