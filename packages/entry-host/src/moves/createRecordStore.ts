import type { Outcome, PoolId } from '@rattanreel/core';
import type { MoveRecord, RecordAnswer } from '@rattanreel/moves';
import type { ObjectStore, StoredObject, StoreError } from '@rattanreel/platform';
import type { CarryOutRecordEffect } from './types';
import moveKind from './moveKind';

const DEFAULT_RETRY_AFTER_MS = 1_000;

function toAnswer(outcome: Outcome<StoredObject<MoveRecord>, StoreError>): RecordAnswer {
  if (outcome.kind === 'ok') {
    const { value, version } = outcome.value;
    return { kind: 'stands', stored: { record: value, version } };
  }
  const { error } = outcome;
  switch (error.kind) {
    case 'conflict': {
      const current = error.current as StoredObject<MoveRecord> | undefined;
      const stored =
        current === undefined ? undefined : { record: current.value, version: current.version };
      return { kind: 'conflict', stored };
    }
    case 'notFound':
      return { kind: 'conflict', stored: undefined };
    case 'unavailable':
    case 'callBudgetSpent':
      return { kind: 'unavailable', retryAfter: error.retryAfterMilliseconds };
    case 'invalidAnswer':
      return { kind: 'unavailable', retryAfter: DEFAULT_RETRY_AFTER_MS };
    case 'outcomeUnknown':
      return { kind: 'outcomeUnknown' };
    default:
      return error satisfies never;
  }
}

/** Reads and conditionally updates move records in the store. */
export default function createRecordStore(store: ObjectStore): CarryOutRecordEffect {
  return (pool: PoolId, effect, answer) => {
    const call =
      effect.kind === 'writeRecord'
        ? store.update<MoveRecord>(moveKind, pool, effect.record, effect.version)
        : store.get<MoveRecord>(moveKind, pool);
    void call.then((outcome) => answer(toAnswer(outcome)));
  };
}
