import type { Milliseconds, Random, VirtualClock } from '@rattanreel/core';
import type { MoveRecord, RecordAnswer, StoredMove } from '@rattanreel/moves';
import type { RecordStore, StoreFaultShares } from './types';

const ONE_WAY_MILLISECONDS: Milliseconds = 5;
const LOST_ANSWER_MILLISECONDS: Milliseconds = 2_000;
const LATE_WRITE_MILLISECONDS: Milliseconds = 30_000;
const RETRY_AFTER_MILLISECONDS: Milliseconds = 1_000;

interface RecordStoreOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly faults: StoreFaultShares;
  readonly first: MoveRecord;
  readonly onChange: (stored: StoredMove) => void;
}

/**
 * Creates a store of one move record with conditional updates, outages, lost responses and late
 * writes.
 */
export default function createRecordStore(options: RecordStoreOptions): RecordStore {
  const { clock, random, faults } = options;
  let stored: StoredMove = { record: options.first, version: 1 };
  let isDown = false;

  function apply(record: MoveRecord, version: number): RecordAnswer {
    if (version !== stored.version) {
      return { kind: 'conflict', stored };
    }
    stored = { record, version: version + 1 };
    options.onChange(stored);
    return { kind: 'stands', stored };
  }

  function respondAfter(
    delay: Milliseconds,
    answer: RecordAnswer,
    onResponse: (answer: RecordAnswer) => void,
  ): void {
    clock.after(delay, () => onResponse(answer));
  }

  function handleWrite(
    record: MoveRecord,
    version: number,
    onResponse: (answer: RecordAnswer) => void,
  ): void {
    if (isDown) {
      const retryAfter = RETRY_AFTER_MILLISECONDS;
      respondAfter(ONE_WAY_MILLISECONDS, { kind: 'unavailable', retryAfter }, onResponse);
      return;
    }
    const draw = random.next();
    if (draw < faults.lateWriteShare) {
      clock.after(random.next() * LATE_WRITE_MILLISECONDS, () => apply(record, version));
      respondAfter(LOST_ANSWER_MILLISECONDS, { kind: 'outcomeUnknown' }, onResponse);
      return;
    }
    const answer = apply(record, version);
    if (draw < faults.lateWriteShare + faults.lostAnswerShare) {
      respondAfter(LOST_ANSWER_MILLISECONDS, { kind: 'outcomeUnknown' }, onResponse);
      return;
    }
    respondAfter(ONE_WAY_MILLISECONDS, answer, onResponse);
  }

  return {
    read(onResponse) {
      clock.after(2 * ONE_WAY_MILLISECONDS, () =>
        onResponse(
          isDown
            ? { kind: 'unavailable', retryAfter: RETRY_AFTER_MILLISECONDS }
            : { kind: 'stands', stored },
        ),
      );
    },
    write(record, version, onResponse) {
      clock.after(ONE_WAY_MILLISECONDS, () => handleWrite(record, version, onResponse));
    },
    tryGetStored: () => (isDown ? undefined : stored),
    isDown: () => isDown,
    setDown(next) {
      isDown = next;
    },
  };
}
