import type { Milliseconds } from '@rattanreel/core';
import { match } from 'ts-pattern';
import changeMoveRecord from './changeMoveRecord';
import checkVerdictFinal from './checkVerdictFinal';
import type { RecordWriter, StoredMove } from './types';

/** Longest wait for an answer before the outcome counts as unknown. */
const ANSWER_TIMEOUT_MILLISECONDS: Milliseconds = 10_000;
const RETRY_MILLISECONDS: Milliseconds = 500;

/**
 * Writes changes of one pool's move record by conditional update. A write whose outcome is unknown may still
 * take effect later; as each write names the version it changes, it then fails or makes the next one conflict.
 */
export default function createRecordWriter(): RecordWriter {
  let stored: StoredMove | undefined;
  let calledAt: number | undefined;
  let retryAt = 0;
  let mustRead = false;

  function see(seen: StoredMove): boolean {
    if (stored !== undefined && seen.version <= stored.version) {
      return false;
    }
    if (stored !== undefined) {
      checkVerdictFinal(stored.record, seen.record);
    }
    stored = seen;
    return true;
  }

  function isWaiting(now: number): boolean {
    if (calledAt === undefined) {
      return false;
    }
    if (now - calledAt < ANSWER_TIMEOUT_MILLISECONDS) {
      return true;
    }
    calledAt = undefined;
    mustRead = true;
    return false;
  }

  return {
    stored: () => stored,
    see,
    answer(answer, now) {
      calledAt = undefined;
      return match(answer)
        .with({ kind: 'stands' }, (stands) => {
          mustRead = false;
          return see(stands.stored);
        })
        .with({ kind: 'conflict' }, ({ stored: current }) => {
          mustRead = false;
          retryAt = current === undefined ? now + RETRY_MILLISECONDS : retryAt;
          return current !== undefined && see(current);
        })
        .with({ kind: 'unavailable' }, ({ retryAfter }) => {
          retryAt = now + Math.max(RETRY_MILLISECONDS, retryAfter);
          return false;
        })
        .with({ kind: 'outcomeUnknown' }, () => {
          mustRead = true;
          retryAt = now + RETRY_MILLISECONDS;
          return false;
        })
        .exhaustive();
    },
    advance(decide, now) {
      if (stored === undefined || isWaiting(now) || now < retryAt) {
        return [];
      }
      const change = decide(stored.record);
      if (change === undefined) {
        return [];
      }
      if (mustRead) {
        calledAt = now;
        return [{ kind: 'readRecord', pool: stored.record.pool }];
      }
      const changed = changeMoveRecord(stored.record, change);
      if (changed.kind === 'error') {
        return [];
      }
      calledAt = now;
      return [{ kind: 'writeRecord', record: changed.value, version: stored.version }];
    },
  };
}
