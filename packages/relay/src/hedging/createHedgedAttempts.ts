import type { SlotGrant } from '../admission/types';
import type { ResponseRelay, RelayRequestOptions } from '../front/types';
import createAttemptRace from './createAttemptRace';
import createHedgeTimer from './createHedgeTimer';
import type { AttemptRace, CopyHistory, FinalCopy, StartCopy } from './types';

interface HedgedAttemptsOptions extends RelayRequestOptions {
  readonly response: ResponseRelay;
  readonly attempts: CopyHistory;
  readonly startCopy: StartCopy;
  /** Called before a copy is sent. */
  readonly onSend: (grant: SlotGrant) => void;
  readonly onData: () => void;
  /** Called when no copy that could still succeed is in flight. */
  readonly onEnd: (copy: FinalCopy) => void;
}

interface HedgedAttempts extends AttemptRace {
  /** Sends no further copy by itself. */
  stop(): void;
}

/** Sends a request to one server, and to a second one if the first is slower than nearly all. */
export default function createHedgedAttempts(options: HedgedAttemptsOptions): HedgedAttempts {
  const { plan, attempts, observer } = options;
  const race = createAttemptRace({
    ...options,
    isStream: plan.route.kind === 'stream',
    onCopyEnd(copy, isSuperseded) {
      observer.attemptEnded(plan, copy.server, copy.figures);
      attempts.end(copy.figures.end);
      hedgeTimer.recordEnd(copy, isSuperseded);
    },
    onEnd(copy) {
      hedgeTimer.stop();
      options.onEnd(copy);
    },
  });
  const hedgeTimer = createHedgeTimer({
    ...options,
    race,
    onGranted(grant, delay) {
      observer.hedged(plan, grant.server.id, delay);
      options.onSend(grant);
      race.start(grant);
    },
    onSkipped: (reason, delay) => observer.hedgeSkipped(plan, reason, delay),
  });

  return {
    ...race,
    start(grant) {
      options.onSend(grant);
      race.start(grant);
      if (race.isRunning()) {
        hedgeTimer.start();
      }
    },
    stop: hedgeTimer.stop,
  };
}
