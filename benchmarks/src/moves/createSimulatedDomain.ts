import type { Milliseconds, VirtualClock } from '@rattanreel/core';
import { createMoveGuard } from '@rattanreel/moves';
import type {
  MoveGuard,
  MoveGuardEffect,
  MoveGuardMessage,
  MoveVeto,
  StoredMove,
} from '@rattanreel/moves';
import type createTrafficModel from './createTrafficModel';
import type createRunObserver from './createRunObserver';

const TICK_MILLISECONDS: Milliseconds = 50;
/**
 * Time until a replacement guard receives the state held by the hosts of its failure domain.
 */
const RESTART_MILLISECONDS: Milliseconds = 1_000;

interface SimulatedDomainOptions {
  readonly index: number;
  readonly pool: string;
  readonly failureDomains: readonly string[];
  readonly requestsPerSecond: number;
  readonly clock: VirtualClock;
  readonly traffic: ReturnType<typeof createTrafficModel>;
  readonly observer: ReturnType<typeof createRunObserver>;
  readonly apply: (effect: MoveGuardEffect, domain: number) => void;
}

/**
 * One failure domain: its traffic, its guard and the latest veto and record that its hosts hold.
 */
interface SimulatedDomain {
  getShare(): number;
  handle(message: MoveGuardMessage): void;
  /** Replaces the guard, as when the scheduler's host dies and another host starts one. */
  restartGuard(): void;
  /** Simulates the arrivals of one tick. */
  tick(): void;
  reportOldTraffic(): void;
}

/** Creates one failure domain of the benchmark. */
export default function createSimulatedDomain(options: SimulatedDomainOptions): SimulatedDomain {
  const { index, pool, failureDomains, clock, traffic, observer } = options;
  const meanPerTick = (options.requestsPerSecond * TICK_MILLISECONDS) / 1000;
  let guard = startGuard();
  let share = 0;
  let newRequests = 0;
  let oldInFlight = 0;
  let latestVeto: MoveVeto | undefined;
  let latestRecord: StoredMove | undefined;

  function startGuard(): MoveGuard {
    return createMoveGuard({ pool, failureDomain: failureDomains[index]!, failureDomains });
  }

  function storeLatest(message: MoveGuardMessage): void {
    if (message.kind === 'vetoHeard') {
      latestVeto = message.veto;
    } else if (message.kind === 'recordSeen') {
      if (message.stored.version > (latestRecord?.version ?? 0)) {
        latestRecord = message.stored;
      }
    }
  }

  function applyEffect(effect: MoveGuardEffect): void {
    if (effect.kind === 'vetoVersion') {
      share = 0;
    } else if (effect.kind === 'sharesChanged') {
      share = effect.shares.find(({ version }) => version === 'new')?.share ?? 0;
    } else if (effect.kind === 'announceVeto') {
      latestVeto = effect.veto;
    }
    options.apply(effect, index);
  }

  function handle(message: MoveGuardMessage): void {
    storeLatest(message);
    guard.handle(message, clock.now()).forEach(applyEffect);
  }

  function dispatch(): void {
    const isNew = share > 0 && traffic.drawUnit() < share;
    const now = clock.now();
    const drawn = traffic.draw({ isNew, share, newRequestsBefore: newRequests, now });
    newRequests += isNew ? 1 : 0;
    oldInFlight += isNew ? 0 : 1;
    observer.recordDispatch(isNew, drawn.isFaulty);
    clock.after(drawn.duration, () => {
      oldInFlight -= isNew ? 0 : 1;
      if (drawn.isFaulty) {
        observer.recordFaultyCompletion(clock.now());
      }
      handle(drawn.evidence);
    });
  }

  return {
    getShare: () => share,
    handle,
    restartGuard() {
      share = 0;
      guard = startGuard();
      clock.after(RESTART_MILLISECONDS, () => {
        if (latestVeto !== undefined) {
          handle({ kind: 'vetoHeard', veto: latestVeto });
        }
        if (latestRecord !== undefined) {
          handle({ kind: 'recordSeen', stored: latestRecord });
        }
      });
    },
    tick() {
      const count = traffic.drawCount(meanPerTick);
      for (let arrived = 0; arrived < count; arrived += 1) {
        dispatch();
      }
    },
    reportOldTraffic() {
      handle({ kind: 'oldTrafficCounted', inFlight: oldInFlight });
    },
  };
}
