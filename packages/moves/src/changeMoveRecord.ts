import { fail, ok } from '@rattanreel/core';
import type { Generation, Outcome } from '@rattanreel/core';
import { match } from 'ts-pattern';
import type { MoveChange, MoveChangeError, MoveRecord } from './types';

type ControllerChange = Extract<MoveChange, { readonly controllerGeneration: Generation }>;

function getChangedFields(record: MoveRecord, change: MoveChange): Partial<MoveRecord> | undefined {
  return match(change)
    .with({ kind: 'step' }, ({ step }) =>
      step > record.step && step < record.steps.length ? { step } : undefined,
    )
    .with({ kind: 'late' }, () => (record.late ? undefined : { late: true }))
    .with({ kind: 'fullShare' }, ({ at }) =>
      record.fullShareAt === undefined && record.step === record.steps.length - 1
        ? { fullShareAt: at }
        : undefined,
    )
    .with({ kind: 'done' }, () =>
      record.fullShareAt === undefined ? undefined : { verdict: 'done' as const },
    )
    .with({ kind: 'takeBack' }, ({ reason }) => ({
      verdict: 'takenBack' as const,
      takenBackBecause: reason,
    }))
    .with({ kind: 'cancel' }, () => ({ verdict: 'cancelled' as const }))
    .exhaustive();
}

function isControllerChange(change: MoveChange): change is ControllerChange {
  return 'controllerGeneration' in change;
}

/**
 * Applies a change to a move record; no other code changes one. A final verdict cannot be changed, and a
 * controller with an older lease generation than the record's is refused. Rollback and cancellation need no lease.
 */
export default function changeMoveRecord(
  record: MoveRecord,
  change: MoveChange,
): Outcome<MoveRecord, MoveChangeError> {
  if (record.verdict !== 'underWay') {
    return fail({ kind: 'verdictFinal', verdict: record.verdict });
  }
  const knownGeneration = record.controllerGeneration ?? 0;
  if (isControllerChange(change) && change.controllerGeneration < knownGeneration) {
    return fail({ kind: 'staleController', generation: knownGeneration });
  }
  const fields = getChangedFields(record, change);
  if (fields === undefined) {
    return fail({ kind: 'noEffect' });
  }
  return ok({
    ...record,
    ...fields,
    generation: record.generation + 1,
    controllerGeneration: isControllerChange(change)
      ? change.controllerGeneration
      : knownGeneration,
  });
}
