import type { MoveError, MoveRequest } from '@rattanreel/administration';
import { fail, ok } from '@rattanreel/core';
import type { Outcome, PoolId } from '@rattanreel/core';
import { changeMoveRecord, createMoveRecord } from '@rattanreel/moves';
import type { MoveRecord } from '@rattanreel/moves';
import type { ObjectStore, StoredObject } from '@rattanreel/platform';
import moveKind from '../moves/moveKind';
import type { MoveCommands, SettingsView } from '../types';

const MOST_CANCEL_ATTEMPTS = 5;

/** Starts and cancels moves by conditional writes of their records. */
export default function createMoveCommands(
  store: ObjectStore,
  tryGetSettings: () => SettingsView | undefined,
  getWallTime: () => number,
): MoveCommands {
  function planRecord(
    request: MoveRequest,
    before: StoredObject<MoveRecord> | undefined,
  ): Outcome<MoveRecord, MoveError> {
    const pool = tryGetSettings()?.settings.pools.find(({ id }) => id === request.pool);
    if (pool === undefined) {
      return fail({ kind: 'unknownPool' });
    }
    if (!pool.versions.includes(request.to)) {
      return fail({ kind: 'unknownVersion' });
    }
    if (before?.value.verdict === 'underWay') {
      return fail({ kind: 'moveUnderWay' });
    }
    const carried = before?.value.verdict === 'done' ? before.value.to : before?.value.from;
    return createMoveRecord({
      ...request,
      from: carried ?? pool.currentVersion,
      startedAt: getWallTime(),
    });
  }

  async function read(
    pool: PoolId,
  ): Promise<Outcome<StoredObject<MoveRecord> | undefined, MoveError>> {
    const found = await store.get<MoveRecord>(moveKind, pool);
    if (found.kind === 'ok') {
      return found;
    }
    return found.error.kind === 'notFound'
      ? ok(undefined)
      : fail({ kind: 'storeFailed', error: found.error });
  }

  async function start(request: MoveRequest): Promise<Outcome<MoveRecord, MoveError>> {
    const before = await read(request.pool);
    if (before.kind === 'error') {
      return before;
    }
    const record = planRecord(request, before.value);
    if (record.kind === 'error') {
      return record;
    }
    const written =
      before.value === undefined
        ? await store.create(moveKind, request.pool, record.value)
        : await store.update(moveKind, request.pool, record.value, before.value.version);
    if (written.kind === 'ok') {
      return ok(written.value.value);
    }
    return written.error.kind === 'conflict'
      ? fail({ kind: 'moveUnderWay' })
      : fail({ kind: 'storeFailed', error: written.error });
  }

  async function cancel(pool: PoolId): Promise<Outcome<MoveRecord, MoveError>> {
    for (let attempt = 0; attempt < MOST_CANCEL_ATTEMPTS; attempt += 1) {
      const before = await read(pool);
      if (before.kind === 'error') {
        return before;
      }
      if (before.value === undefined) {
        return fail({ kind: 'noMove' });
      }
      if (before.value.value.verdict === 'cancelled') {
        // A guard or the controller may have recorded it already.
        return ok(before.value.value);
      }
      const changed = changeMoveRecord(before.value.value, { kind: 'cancel' });
      if (changed.kind === 'error') {
        return fail({ kind: 'noMove' });
      }
      const written = await store.update(moveKind, pool, changed.value, before.value.version);
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
