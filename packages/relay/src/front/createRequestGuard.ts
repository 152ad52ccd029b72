import type { AbortReason } from '../types';
import type { StopEvent, TimedRequest, TimeCheck } from '../lateness/types';
import createQuarantineWatch from './createQuarantineWatch';
import type { AttemptRace } from '../hedging/types';
import type { Refusal, RelayRequestOptions } from './types';

interface RequestGuardOptions extends Pick<
  RelayRequestOptions,
  'crashGuard' | 'plan' | 'timeCheck'
> {
  readonly attempts: {
    /** Whether an attempt of the request may have run. */
    mayHaveRun(): boolean;
  };
  readonly copies: Pick<AttemptRace, 'isRunning' | 'hasData'>;
  /** Called when a request that waits, or has not been answered, must end. */
  readonly onRefused: (refusal: Refusal, reason: AbortReason) => void;
}

interface RequestGuard {
  /** Returns why a request may not ask for a slot; undefined if it may. */
  tryRefuseAdmission(): Refusal | undefined;
  /** Returns why a request may not use its slot; undefined if it may. */
  tryRefuseDispatch(): Refusal | undefined;
  stop(): void;
}

/** Checks before each step of a request whether it may be sent and whether there is time for it. */
export default function createRequestGuard(options: RequestGuardOptions): RequestGuard {
  const { crashGuard, plan, attempts, copies, onRefused } = options;
  const timeCheck: TimeCheck = options.timeCheck;
  const quarantineWatch = createQuarantineWatch({
    crashGuard,
    traits: plan.traits,
    requestId: plan.requestId,
    onQuarantined(refusal) {
      // A server that has not begun to answer would end when it does.
      if (!copies.hasData()) {
        onRefused(refusal, 'quarantined');
      }
    },
  });

  function getRequest(): TimedRequest {
    return { deadlineAt: plan.deadlineAt, mayHaveRun: attempts.mayHaveRun() };
  }

  function handleStop(event: StopEvent): void {
    switch (event) {
      case 'begun': {
        const refusal = timeCheck.tryRefuseDispatch(getRequest());
        if (refusal !== undefined && !copies.isRunning()) {
          onRefused(refusal, 'stop');
        }
        return;
      }
      case 'expired':
        onRefused({ reason: 'stopping' }, 'stop');
        return;
      default:
        event satisfies never;
    }
  }

  const stopWatching = timeCheck.watchStop(handleStop);
  return {
    tryRefuseAdmission: () =>
      quarantineWatch.tryGetRefusal() ?? timeCheck.tryRefuseAdmission(getRequest()),
    tryRefuseDispatch: () =>
      quarantineWatch.tryGetRefusal() ?? timeCheck.tryRefuseDispatch(getRequest()),
    stop() {
      quarantineWatch.stop();
      stopWatching();
    },
  };
}
