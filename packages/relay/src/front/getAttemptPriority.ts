import type { Milliseconds } from '@rattanreel/core';
import type { Priority } from '../types';
import type { RequestPlan } from './types';

/** Objectives that a retry may wait: one for a slot, and one for the first data. */
const RETRY_OBJECTIVES = 2;

interface AttemptPriorityOptions {
  readonly plan: RequestPlan;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  readonly now: Milliseconds;
}

/**
 * Returns the priority of a request's next attempt. The objective of a request that may have run has
 * often passed, but it cannot be refused any more: a late response is better than a failure.
 */
export default function getAttemptPriority(options: AttemptPriorityOptions): Priority {
  const { plan, mayHaveRun, now } = options;
  const { priority, route } = plan;
  if (!mayHaveRun) {
    return priority;
  }
  const latest = Math.min(now + route.objective * RETRY_OBJECTIVES, priority.deadlineAt);
  return { ...priority, serveBy: Math.max(priority.serveBy, latest) };
}
