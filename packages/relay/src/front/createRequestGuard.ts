import type { AbortReason } from '../types';
import type { TimedRequest, TimeCheck } from '../lateness/types';
import createQuarantineWatch from './createQuarantineWatch';
import type { Refusal, RelayRequestOptions } from './types';

interface RequestGuardOptions extends Pick<
  RelayRequestOptions,
  'crashGuard' | 'plan' | 'pool' | 'timeCheck'
> {
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
  const { crashGuard, plan, pool, onRefused } = options;
  const timeCheck: TimeCheck = options.timeCheck;
  const request: TimedRequest = { ...plan, pool };
  const quarantineWatch = createQuarantineWatch({
    crashGuard,
    traits: plan.traits,
    requestId: plan.requestId,
    onQuarantined: (refusal) => onRefused(refusal, 'quarantined'),
  });
  const stopWatching = timeCheck.watchStop(() => onRefused({ reason: 'stopping' }, 'stop'));

  return {
    tryRefuseAdmission: () =>
      quarantineWatch.tryGetRefusal() ?? timeCheck.tryRefuseAdmission(request),
    tryRefuseDispatch: () =>
      quarantineWatch.tryGetRefusal() ?? timeCheck.tryRefuseDispatch(request),
    stop() {
      quarantineWatch.stop();
      stopWatching();
    },
  };
}
