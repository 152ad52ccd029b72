import { retryConditionalWrite } from '@rattanreel/platform';
import type { ConditionalWriteResult, StoredObject } from '@rattanreel/platform';
import type { Milliseconds } from '@rattanreel/core';
import * as z from 'zod';
import type { RelayContext } from '../types';
import type { DutyStore, UsageRecord, UsageRecords } from './types';

/** Kind of the objects in the store: one for each of the last windows. */
const RECORD_KIND = 'rattanreel-usage';
/** Longest time for one record, after which its holder looks again at what the store holds. */
const WRITE_DEADLINE: Milliseconds = 1_500;

const recordSchema = z.object({
  window: z.number(),
  counts: z.record(z.string(), z.number()),
});

/** Returns the object that the store holds after a write; undefined if that is unknown. */
function tryGetObject(result: ConditionalWriteResult): StoredObject | undefined {
  switch (result.kind) {
    case 'written':
      return result.object;
    case 'superseded':
      return result.current;
    case 'notWritten':
    case 'inDoubt':
      return undefined;
    default:
      return result satisfies never;
  }
}

interface UsageRecordsOptions {
  readonly context: RelayContext;
  readonly store: DutyStore;
  readonly getEra: (version: number) => number;
}

/**
 * Keeps what is sent for each window in the platform's store. A record is only ever created, so
 * all holders find the same one. Handles lost answers: a write in doubt is repeated, and a conflict
 * shows which record exists.
 */
export default function createUsageRecords(options: UsageRecordsOptions): UsageRecords {
  const { context, store, getEra } = options;

  function getName(window: number): string {
    return `window-${window}`;
  }

  return {
    async list() {
      const listed = await store.list(RECORD_KIND);
      if (listed.kind === 'error') {
        return undefined;
      }
      const records = listed.value.items.flatMap(({ value }) => {
        const parsed = recordSchema.safeParse(value);
        return parsed.success ? [parsed.data] : [];
      });
      return { records, era: getEra(listed.value.version) };
    },
    async create(record) {
      const result = await retryConditionalWrite<UsageRecord>({
        write: () => store.create(RECORD_KIND, getName(record.window), record),
        isOwnWrite: () => false,
        ...context,
        deadline: WRITE_DEADLINE,
      });
      const object = tryGetObject(result);
      const parsed = recordSchema.safeParse(object?.value);
      return object !== undefined && parsed.success
        ? { kind: 'recorded', record: parsed.data, era: getEra(object.version) }
        : { kind: 'notRecorded' };
    },
    async remove(window) {
      const found = await store.get(RECORD_KIND, getName(window));
      if (found.kind === 'ok') {
        await store.remove(RECORD_KIND, getName(window), found.value.version);
      }
    },
  };
}
