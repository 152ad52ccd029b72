import { match } from 'ts-pattern';
import type { ObjectStore, StoredObject, StoreError } from '@rattanreel/platform';
import type { MoveRecord, RecordAnswer, RecordEffect, StoredMove } from './types';

const MOVE_RECORD_KIND = 'move';

function toStoredMove({ value, version }: StoredObject<MoveRecord>): StoredMove {
  return { record: value, version };
}

function toAnswer(error: StoreError): RecordAnswer {
  return match(error)
    .with({ kind: 'conflict' }, ({ current }): RecordAnswer => {
      const stored =
        current === undefined ? undefined : toStoredMove(current as StoredObject<MoveRecord>);
      return { kind: 'conflict', stored };
    })
    .with({ kind: 'notFound' }, (): RecordAnswer => ({ kind: 'conflict', stored: undefined }))
    .with(
      { kind: 'unavailable' },
      { kind: 'callBudgetSpent' },
      ({ retryAfterMilliseconds }): RecordAnswer => ({
        kind: 'unavailable',
        retryAfter: retryAfterMilliseconds,
      }),
    )
    .with({ kind: 'outcomeUnknown' }, { kind: 'invalidAnswer' }, (): RecordAnswer => ({
      kind: 'outcomeUnknown',
    }))
    .exhaustive();
}

/** Executes a write or a read of a move record; move records are named after their pool. */
export default async function callRecordStore(
  store: ObjectStore,
  effect: RecordEffect,
): Promise<RecordAnswer> {
  const outcome =
    effect.kind === 'readRecord'
      ? await store.get<MoveRecord>(MOVE_RECORD_KIND, effect.pool)
      : await store.update<MoveRecord>(
          MOVE_RECORD_KIND,
          effect.record.pool,
          effect.record,
          effect.version,
        );
  return outcome.kind === 'ok'
    ? { kind: 'stands', stored: toStoredMove(outcome.value) }
    : toAnswer(outcome.error);
}
