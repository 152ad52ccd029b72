import type { TierRank } from '@rattanreel/core';
import type createSlotSharingPolicy from '../decisions/createSlotSharingPolicy';
import type { AttemptFigures, ServerState } from '../types';
import recordAttempt from './recordAttempt';
import type { PoolAverages, SlotTrackerOptions } from './types';

interface CompletionOptions extends Pick<SlotTrackerOptions, 'clock' | 'speeds' | 'rollouts'> {
  readonly averages: PoolAverages;
  readonly policy: Pick<ReturnType<typeof createSlotSharingPolicy>, 'recordDuration'>;
  readonly server: ServerState;
  readonly tier: TierRank;
  readonly figures: AttemptFigures;
}

/** Updates what a pool learns from an attempt that has ended. */
export default function recordCompletion(options: CompletionOptions): void {
  const { server, tier, figures } = options;
  const now = options.clock.now();
  // Times at a server that was slow say nothing of its usual ones.
  const isUsualSpeed = !options.speeds.wasSlowSince(server.listed.id, now - figures.duration);
  if (figures.end.kind === 'whole' && isUsualSpeed) {
    options.policy.recordDuration(tier, figures.duration);
  }
  recordAttempt({ ...options, isUsualSpeed, now });
  // A server that has just started is slow whatever its version.
  if (server.coldUntil <= now - figures.duration) {
    options.rollouts.recordAttempt(server.listed, tier, figures);
  }
}
