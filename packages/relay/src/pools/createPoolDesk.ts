import type {
  BackendServerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Random,
  Clock,
} from '@rattanreel/core';
import chooseServer from '../decisions/chooseServer';
import createMovingMean from '../decisions/createMovingMean';
import createRepeatBudget from '../decisions/createRepeatBudget';
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
/** Part of the time to a request's deadline that it may be expected to wait. */
const WAITING_PART = 0.5;
const SHORTEST_RETRY: Milliseconds = 100;
/** Spread of the time at which refused requests return, so that they do not return together. */
const RETRY_SPREAD = 0.5;

export interface PoolDeskOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly bounds: RelayBounds;
  readonly accounts: ServerAccounts;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
  readonly getSettings: () => PoolSettings | undefined;
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

  function take(server: ServerAccount): void {
    const now = clock.now();
    server.own += 1;
    if (server.coldUntil > now) {
      server.nextColdAt = now + getColdInterval(server);
    }
  }

  function serveNext(): boolean {
    const request = line.peek(clock.now());
    const server = request === undefined ? undefined : chooseFor(request);
    if (request === undefined || server === undefined) {
      return false;
    }
    line.remove(request);
    take(server);
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
    line.takeExpired(clock.now()).forEach((request) => request.onRefused('deadlinePassed'));
    while (serveNext()) {
      // Serves until no request or no place is left.
    }
    lookLater();
  }

  /** Places of usable servers that fall to this host. */
  function getOwnPlaces(): number {
    const now = clock.now();
    const evacuated = options.getEvacuated();
    const places = [...accounts.byId.values()]
      .filter(
        ({ listed, avoidedUntil }) =>
          !listed.isDraining && !evacuated.has(listed.failureDomain) && avoidedUntil <= now,
      )
      .reduce((sum, { listed }) => sum + listed.slots, 0);
    return places / hosts;
  }

  /** Expected wait of a request of this tier that comes now. */
  function getExpectedWait(tier: number): Milliseconds {
    const places = getOwnPlaces();
    return places === 0 ? Infinity : (line.countAhead(tier) * means.duration.get()) / places;
  }

  return {
    get waiting() {
      return line.size;
    },
    get accounts() {
      return accounts.byId;
    },
    ask(request) {
      const now = clock.now();
      const { tier, deadlineAt } = request.urgency;
      const allowance = (deadlineAt - now - means.firstData.get()) * WAITING_PART;
      const wait = line.size === 0 ? 0 : getExpectedWait(tier);
      if (wait > allowance || allowance <= 0) {
        return { kind: 'refused', reason: allowance <= 0 ? 'deadlinePassed' : 'expectedLate' };
      }
      if (accounts.byId.size === 0) {
        return { kind: 'refused', reason: 'noServer' };
      }
      line.add(request);
      pump();
      return { kind: 'waiting' };
    },
    withdraw: (request) => line.remove(request),
    noteEnded(server, figures) {
      server.own -= 1;
      noteAttempt({ account: server, figures, means, now: clock.now() });
      pump();
    },
    noteLoad(server, running, waiting) {
      server.reportedOthers = Math.max(running + waiting - server.own, 0);
      server.reportedAt = clock.now();
    },
    tryRepeat: () => budget.tryRepeat(clock.now()),
    noteRequest: () => budget.noteRequest(clock.now()),
    getRetryAfter({ tier }) {
      const wait = Math.min(getExpectedWait(tier), 2_000);
      return Math.max(wait, SHORTEST_RETRY) * (1 + random.next() * RETRY_SPREAD);
    },
    setOthers(inFlight) {
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
