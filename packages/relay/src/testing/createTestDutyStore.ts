import { fail, ok } from '@rattanreel/core';
import type { Clock, Milliseconds, Outcome } from '@rattanreel/core';
import type { StoredObject, StoreError } from '@rattanreel/platform';
import type { DutyStore } from '../duties/types';

const STORE_DELAY: Milliseconds = 4;
const CALL_TIMEOUT: Milliseconds = 1_000;
const REVISIONS_PER_ERA = 2 ** 40;

type Objects = ReadonlyMap<string, StoredObject>;
type Result<Value> = Outcome<Value, StoreError>;

/** Creates a store of leases and records in virtual time, which may fail or return from a copy. */
export default function createTestDutyStore() {
  let objects = new Map<string, StoredObject>();
  let revision = 1;
  let era = 0;
  let calls = 0;
  let lostResponses = 0;
  let extraDelay: Milliseconds = 0;
  let isDown = false;

  function put(kind: string, name: string, value: unknown): StoredObject {
    revision += 1;
    const version = era * REVISIONS_PER_ERA + revision;
    const object = { kind, name, version, value };
    objects.set(`${kind}/${name}`, object);
    return object;
  }

  function createClient(clock: Clock, isReachable: () => boolean): DutyStore {
    const wait = (delay: Milliseconds): Promise<void> =>
      new Promise((resolve) => {
        clock.after(delay, resolve);
      });

    async function call<Value>(
      isWrite: boolean,
      apply: () => Result<Value>,
    ): Promise<Result<Value>> {
      calls += 1;
      if (!isReachable() || isDown) {
        await wait(CALL_TIMEOUT);
        return fail({ kind: 'unavailable', retryAfterMilliseconds: 100 });
      }
      await wait(STORE_DELAY + extraDelay);
      const result = apply();
      if (isWrite && lostResponses > 0) {
        lostResponses -= 1;
        await wait(CALL_TIMEOUT);
        return fail({ kind: 'outcomeUnknown' });
      }
      await wait(STORE_DELAY + extraDelay);
      return structuredClone(result);
    }

    return {
      get: <Value>(kind: string, name: string) =>
        call(false, (): Result<StoredObject<Value>> => {
          const object = objects.get(`${kind}/${name}`);
          return object === undefined
            ? fail({ kind: 'notFound' })
            : ok(object as StoredObject<Value>);
        }),
      list: <Value>(kind: string) =>
        call(false, () => {
          const items = [...objects.values()].filter((object) => object.kind === kind);
          const version = era * REVISIONS_PER_ERA + revision;
          return ok({ items: items as StoredObject<Value>[], version });
        }),
      create: <Value>(kind: string, name: string, value: Value) =>
        call(true, (): Result<StoredObject<Value>> => {
          const current = objects.get(`${kind}/${name}`);
          return current === undefined
            ? ok(put(kind, name, value) as StoredObject<Value>)
            : fail({ kind: 'conflict', current });
        }),
      update: <Value>(kind: string, name: string, value: Value, version: number) =>
        call(true, (): Result<StoredObject<Value>> => {
          const current = objects.get(`${kind}/${name}`);
          return current?.version === version
            ? ok(put(kind, name, value) as StoredObject<Value>)
            : fail({ kind: 'conflict', current });
        }),
      remove: (kind, name) =>
        call(true, () => {
          objects.delete(`${kind}/${name}`);
          return ok(undefined);
        }),
    };
  }

  return {
    createClient,
    getEra: (version: number): number => Math.floor(version / REVISIONS_PER_ERA),
    setDown(next: boolean): void {
      isDown = next;
    },
    setExtraDelay(next: Milliseconds): void {
      extraDelay = next;
    },
    loseNextResponses(count: number): void {
      lostResponses = count;
    },
    takeCopy: (): Objects => new Map(objects),
    returnFrom(copy: Objects): void {
      objects = new Map(copy);
      era += 1;
    },
    countCalls: () => calls,
  };
}
