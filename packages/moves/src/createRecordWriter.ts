import type { Milliseconds } from '@rattanreel/core';
import { match } from 'ts-pattern';
import changeMoveRecord from './changeMoveRecord';
import assertVerdictFinal from './assertVerdictFinal';
import type { RecordWriter, StoredMove } from './types';

/** Longest wait for an answer, after which the outcome is unknown. */
const ANSWER_TIMEOUT_MILLISECONDS: Milliseconds = 10_000;
const RETRY_DELAY_MILLISECONDS: Milliseconds = 500;

/**
 * Writes changes of one pool's move record by conditional update. A write whose outcome is unknown may still
 * take effect later; because each write names the version it changes, it then fails or makes the next one conflict.
 */
export default function createRecordWriter(): RecordWriter {
  let stored: StoredMove | undefined;
  let calledAt: number | undefined;
  let retryNotBefore = 0;
  let mustReadFirst = false;

  function applyIfNewer(seen: StoredMove): boolean {
    if (stored !== undefined && seen.version <= stored.version) {
      return false;
    }
    if (stored !== undefined) {
      assertVerdictFinal(stored.record, seen.record);
    }
    stored = seen;
    return true;
  }

  function isCallPending(now: number): boolean {
    if (calledAt === undefined) {
      return false;
    }
    if (now - calledAt < ANSWER_TIMEOUT_MILLISECONDS) {
      return true;
    }
    calledAt = undefined;
    mustReadFirst = true;
    return false;
  }

  return {
    stored: () => stored,
    applyIfNewer,
    handleAnswer(answer, now) {
      calledAt = undefined;
      return match(answer)
        .with({ kind: 'stands' }, (stands) => {
          mustReadFirst = false;
          return applyIfNewer(stands.stored);
        })
        .with({ kind: 'conflict' }, ({ stored: current }) => {
          mustReadFirst = false;
          retryNotBefore = current === undefined ? now + RETRY_DELAY_MILLISECONDS : retryNotBefore;
          return current !== undefined && applyIfNewer(current);
        })
        .with({ kind: 'unavailable' }, ({ retryAfter }) => {
          retryNotBefore = now + Math.max(RETRY_DELAY_MILLISECONDS, retryAfter);
          return false;
        })
        .with({ kind: 'outcomeUnknown' }, () => {
          mustReadFirst = true;
          retryNotBefore = now + RETRY_DELAY_MILLISECONDS;
          return false;
        })
        .exhaustive();
    },
    advanceTowards(decide, now) {
      if (stored === undefined || isCallPending(now) || now < retryNotBefore) {
        return [];
      }
      const change = decide(stored.record);
      if (change === undefined) {
        return [];
      }
      if (mustReadFirst) {
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
