import type { MoveError, MoveRequest } from '@rattanreel/administration';
import { fail, ok } from '@rattanreel/core';
import type { Outcome, PoolId } from '@rattanreel/core';
import { changeMoveRecord, createMoveRecord } from '@rattanreel/moves';
import type { MoveRecord } from '@rattanreel/moves';
import type { ObjectStore, StoredObject } from '@rattanreel/platform';
import moveObjectKind from '../moves/moveObjectKind';
import type { MoveCommands, SettingsView } from '../types';

const MAXIMUM_CANCEL_ATTEMPTS = 5;

/** Starts and cancels moves by conditional writes to their records. */
export default function createMoveCommands(
  store: ObjectStore,
  tryGetSettings: () => SettingsView | undefined,
  getWallTime: () => number,
): MoveCommands {
  function planRecord(
    request: MoveRequest,
    existing: StoredObject<MoveRecord> | undefined,
  ): Outcome<MoveRecord, MoveError> {
    const pool = tryGetSettings()?.settings.pools.find(({ id }) => id === request.pool);
    if (pool === undefined) {
      return fail({ kind: 'unknownPool' });
    }
    if (!pool.versions.includes(request.to)) {
      return fail({ kind: 'unknownVersion' });
    }
    if (existing?.value.verdict === 'underWay') {
      return fail({ kind: 'moveUnderWay' });
    }
    const runningVersion =
      existing?.value.verdict === 'done' ? existing.value.to : existing?.value.from;
    return createMoveRecord({
      ...request,
      from: runningVersion ?? pool.currentVersion,
      startedAt: getWallTime(),
    });
  }

  async function readRecord(
    pool: PoolId,
  ): Promise<Outcome<StoredObject<MoveRecord> | undefined, MoveError>> {
    const found = await store.get<MoveRecord>(moveObjectKind, pool);
    if (found.kind === 'ok') {
      return found;
    }
    return found.error.kind === 'notFound'
      ? ok(undefined)
      : fail({ kind: 'storeFailed', error: found.error });
  }

  async function start(request: MoveRequest): Promise<Outcome<MoveRecord, MoveError>> {
    const existing = await readRecord(request.pool);
    if (existing.kind === 'error') {
      return existing;
    }
    const record = planRecord(request, existing.value);
    if (record.kind === 'error') {
      return record;
    }
    const written =
      existing.value === undefined
        ? await store.create(moveObjectKind, request.pool, record.value)
        : await store.update(moveObjectKind, request.pool, record.value, existing.value.version);
    if (written.kind === 'ok') {
      return ok(written.value.value);
    }
    return written.error.kind === 'conflict'
      ? fail({ kind: 'moveUnderWay' })
      : fail({ kind: 'storeFailed', error: written.error });
  }

  async function cancel(pool: PoolId): Promise<Outcome<MoveRecord, MoveError>> {
    for (let attempt = 0; attempt < MAXIMUM_CANCEL_ATTEMPTS; attempt += 1) {
      const existing = await readRecord(pool);
      if (existing.kind === 'error') {
        return existing;
      }
      if (existing.value === undefined) {
        return fail({ kind: 'noMove' });
      }
      if (existing.value.value.verdict === 'cancelled') {
        // A guard or the controller may have recorded the cancellation already.
        return ok(existing.value.value);
      }
      const changed = changeMoveRecord(existing.value.value, { kind: 'cancel' });
      if (changed.kind === 'error') {
        return fail({ kind: 'noMove' });
      }
      const written = await store.update(
        moveObjectKind,
        pool,
        changed.value,
        existing.value.version,
      );
      if (written.kind === 'ok') {
        return ok(written.value.value);
      }
      if (written.error.kind !== 'conflict') {
        return fail({ kind: 'storeFailed', error: written.error });
      }
    }
    return fail({ kind: 'moveUnderWay' });
  }

  return { start, cancel };
}
