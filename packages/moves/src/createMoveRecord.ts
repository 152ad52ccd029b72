import { ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import planMove from './planMove';
import type { MovePlanError, MovePlanOptions, MoveRecord } from './types';

/** Creates the record of a new move with its plan, before the first step. */
export default function createMoveRecord(
  options: MovePlanOptions,
): Outcome<MoveRecord, MovePlanError> {
  const plan = planMove(options);
  if (plan.kind === 'error') {
    return plan;
  }
  const { pool, from, to, startedAt, deadline, bakeTime } = options;
  const policy = options.outagePolicy ?? 'preAuthorised';
  return ok({
    kind: 'move',
    pool,
    from,
    to,
    startedAt,
    deadline,
    bakeTime,
    steps: plan.value,
    step: -1,
    preAuthorisedThrough: policy === 'hold' ? -1 : plan.value.length - 1,
    generation: 1,
    verdict: 'underWay',
    takenBackBecause: undefined,
    late: false,
  });
}
