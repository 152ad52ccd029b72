import type { BackendServerId, Clock, Milliseconds, PoolId, Timer } from '@rattanreel/core';
import type { Admission, SlotGrant } from '../admission/types';
import type { RequestPlan } from '../front/types';
import type { Route } from '../types';
import decideHedge from './decideHedge';
import type {
  AttemptRace,
  CopyEnd,
  CopyHistory,
  HedgeClass,
  HedgeSkipReason,
  Hedging,
} from './types';

interface HedgeTimerOptions {
  readonly clock: Clock;
  readonly plan: RequestPlan;
  readonly pool: PoolId;
  readonly hedging: Hedging;
  readonly admission: Pick<Admission, 'requestSlot' | 'trySpendRetry'>;
  readonly race: Pick<AttemptRace, 'isRunning' | 'hasData'>;
  readonly attempts: CopyHistory;
  /** Called with the slot of the second copy. */
  readonly onGranted: (grant: SlotGrant, delay: Milliseconds) => void;
  /** Called when the delay has passed and no second copy is sent. */
  readonly onSkipped: (reason: HedgeSkipReason, delay: Milliseconds) => void;
}

interface HedgeTimer {
  /** Begins to wait for the first data of a copy that has just been sent. */
  start(): void;
  /** Records how a copy ended, and whether another one goes on or has won. */
  recordEnd(copy: CopyEnd, isSuperseded: boolean): void;
  stop(): void;
}

/** Returns whether a route's requests may run twice, and so may be hedged. */
function mayRunTwice({ kind, isResumable }: Route): boolean {
  switch (kind) {
    case 'idempotent':
      return true;
    case 'stream':
      return isResumable;
    case 'once':
      return false;
    default:
      return kind satisfies never;
  }
}

/** Asks for the slot of a second copy once the first one is slower than nearly all. */
export default function createHedgeTimer(options: HedgeTimerOptions): HedgeTimer {
  const { clock, plan, pool, hedging, admission, race, attempts } = options;
  const isEnabled = hedging.isEnabled && mayRunTwice(plan.route);
  const hedgeClass: HedgeClass = { pool, kind: plan.route.kind, promptTokens: plan.promptTokens };
  let timer: Timer | undefined;
  let hedgeServer: BackendServerId | undefined;
  let cancelSlotRequest = (): void => undefined;

  function isSilent(): boolean {
    return race.isRunning() && !race.hasData();
  }

  function skip(reason: HedgeSkipReason, delay: Milliseconds): void {
    hedging.count(reason);
    options.onSkipped(reason, delay);
  }

  function requestSlot(delay: Milliseconds): void {
    cancelSlotRequest = admission.requestSlot({
      ...plan,
      pool,
      customer: plan.customer?.name,
      // The request was charged with its first copy; operators pay for the second one.
      cost: 0,
      excludedServers: attempts.triedServers,
      isSpeculative: true,
      onGranted(grant) {
        const isNeeded = isSilent();
        if (isNeeded && admission.trySpendRetry(pool)) {
          hedging.count('sent');
          hedging.observeDelay(delay);
          hedgeServer = grant.server.id;
          options.onGranted(grant, delay);
          return;
        }
        grant.release();
        hedging.budget.refund();
        if (isNeeded) {
          skip('retryBudgetSpent', delay);
        }
      },
      onRefused() {
        hedging.budget.refund();
        skip('noSpareCapacity', delay);
      },
    });
  }

  function consider(delay: Milliseconds): void {
    if (!isSilent()) {
      return;
    }
    const decision = decideHedge({
      ...attempts.getRemaining(),
      delay,
      timeLeft: plan.deadlineAt - clock.now(),
      isInvestigating: hedging.isInvestigating(),
      trySpendHedge: hedging.budget.trySpend,
    });
    switch (decision.kind) {
      case 'send':
        requestSlot(delay);
        return;
      case 'skip':
        skip(decision.reason, delay);
        return;
      default:
        decision satisfies never;
    }
  }

  if (isEnabled) {
    hedging.budget.recordRequest();
  }
  return {
    start() {
      const delay = isEnabled ? hedging.delays.tryGet(hedgeClass) : undefined;
      timer?.cancel();
      timer = delay === undefined ? undefined : clock.after(delay, () => consider(delay));
    },
    recordEnd({ server, figures }, isSuperseded) {
      const { end, firstDataAfter, duration } = figures;
      // A copy that lost has waited at least that long: without it, the delay would fall below the
      // times of the requests that are never hedged.
      const isMeasured = end.kind === 'whole' || (end.kind === 'aborted' && isSuperseded);
      if (isEnabled && isMeasured) {
        hedging.delays.record(hedgeClass, firstDataAfter ?? duration);
      }
      if (server === hedgeServer) {
        hedgeServer = undefined;
        hedging.count(isSuperseded ? 'lost' : 'won');
      }
    },
    stop() {
      timer?.cancel();
      cancelSlotRequest();
    },
  };
}
