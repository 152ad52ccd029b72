import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock, fail, ok } from '@rattanreel/core';
import type { Clock, Milliseconds, Outcome } from '@rattanreel/core';
import { runInVirtualTime } from '@rattanreel/stand-in-platform';
import createLease from './createLease';
import sleep from './sleep';
import type { LeaseOptions, StoredObject, StoreError } from './types';

const DURATION: Milliseconds = 3_000;
const REVISIONS_PER_ERA = 1_000;

type Result<Value> = Outcome<StoredObject<Value>, StoreError>;

/** Creates a store of one object that may return from an older copy, in a new era. */
function createEraStore() {
  let object: StoredObject | undefined;
  let revision = 0;
  let era = 1;
  let beforeNextUpdate: (() => Promise<void>) | undefined;

  function put<Value>(value: unknown): Result<Value> {
    revision += 1;
    object = { kind: 'lease', name: 'x', version: era * REVISIONS_PER_ERA + revision, value };
    return ok(object as StoredObject<Value>);
  }

  const store: LeaseOptions['store'] = {
    get: async <Value>() =>
      object === undefined ? fail({ kind: 'notFound' }) : ok(object as StoredObject<Value>),
    create: async <Value>(_kind: string, _name: string, value: Value) =>
      object === undefined ? put<Value>(value) : fail({ kind: 'conflict', current: object }),
    // Revisions are given out again, so a write for an object of the last era may succeed.
    async update<Value>(_kind: string, _name: string, value: Value, version: number) {
      await beforeNextUpdate?.();
      beforeNextUpdate = undefined;
      return object !== undefined &&
        version % REVISIONS_PER_ERA === object.version % REVISIONS_PER_ERA
        ? put<Value>(value)
        : fail({ kind: 'conflict', current: object });
    },
  };
  return {
    store,
    setBeforeNextUpdate(next: () => Promise<void>): void {
      beforeNextUpdate = next;
    },
    takeCopy: () => ({ object, revision }),
    returnFrom(copy: {
      readonly object: StoredObject | undefined;
      readonly revision: number;
    }): void {
      era += 1;
      revision = copy.revision;
      object = copy.object && { ...copy.object, version: era * REVISIONS_PER_ERA + copy.revision };
    },
  };
}

function createBench() {
  const clock = createVirtualClock();
  const stand = createEraStore();
  let seed = 0;
  let knownEra: number | undefined;
  return {
    clock,
    /** Lets the candidates learn of an era by another way than the lease. */
    setKnownEra(next: number): void {
      knownEra = next;
    },
    ...stand,
    candidate(holder: string, ownClock: Clock = clock) {
      seed += 1;
      return createLease({
        store: stand.store,
        name: 'x',
        holder,
        clock: ownClock,
        random: createRandom(seed),
        duration: DURATION,
        getEra: (version) => Math.floor(version / REVISIONS_PER_ERA),
        getKnownEra: () => knownEra,
        isReleasedOnStop: false,
      });
    },
    wait: (span: Milliseconds) => runInVirtualTime(clock, sleep(clock, span)),
  };
}

describe('a lease over eras of the store', () => {
  it('is not acquired from an empty store before a whole duration, since a holder may act', async () => {
    const bench = createBench();
    const lease = bench.candidate('first');
    await bench.wait(DURATION);
    expect(lease.state().kind).toEqual('notHeld');
    // The era is known from the first write only, and another duration passes then.
    await bench.wait(2 * DURATION);
    expect(lease.tryGetHolding()?.era).toEqual(1);
  });

  it('ends with the first response of another era, and has a higher era and token after it', async () => {
    const bench = createBench();
    const lease = bench.candidate('first');
    await bench.wait(4 * DURATION);
    bench.returnFrom(bench.takeCopy());
    await bench.wait(DURATION / 2);
    expect(lease.state().kind).toEqual('notHeld');
    await bench.wait(2 * DURATION);
    expect(lease.tryGetHolding()?.era).toEqual(2);
  });

  it('ends when a renewal takes effect in an era of which its holder learnt while it was sent', async () => {
    const bench = createBench();
    const lease = bench.candidate('first');
    await bench.wait(4 * DURATION);
    bench.setBeforeNextUpdate(async () => {
      bench.returnFrom(bench.takeCopy());
      bench.setKnownEra(2);
      // The holder looks at its lease while the renewal is on its way.
      expect(lease.state().kind).toEqual('notHeld');
    });
    await bench.wait(DURATION / 2);
    expect(lease.state().kind).toEqual('notHeld');
    await bench.wait(2 * DURATION);
    expect(lease.tryGetHolding()?.era).toEqual(2);
  });

  it('is held by one candidate at a time when the copy has no lease', async () => {
    const bench = createBench();
    const copy = bench.takeCopy();
    const leases = [bench.candidate('first'), bench.candidate('second')];
    await bench.wait(4 * DURATION);
    bench.returnFrom(copy);
    for (let elapsed = 0; elapsed < 4 * DURATION; elapsed += 50) {
      await bench.wait(50);
      const held = leases.filter((lease) => lease.state().kind === 'held');
      expect(held.length).toBeLessThanOrEqual(1);
    }
    expect(leases.filter((lease) => lease.tryGetHolding()?.era === 2).length).toEqual(1);
  });

  it('expires while the machine is suspended and its monotonic clock stands still', async () => {
    const bench = createBench();
    let suspendedFor = 0;
    const lease = bench.candidate('first', {
      ...bench.clock,
      wallTime: () => new Date(bench.clock.now() + suspendedFor),
    });
    await bench.wait(4 * DURATION);
    expect(lease.state().kind).toEqual('held');
    suspendedFor = DURATION;
    expect(lease.state().kind).toEqual('notHeld');
  });

  it('is left to expire when its holder stops, so that holders do not alternate', async () => {
    const bench = createBench();
    const first = bench.candidate('first');
    await bench.wait(4 * DURATION);
    const second = bench.candidate('second');
    await runInVirtualTime(bench.clock, first.stop());
    await bench.wait(DURATION / 2);
    expect(second.state().kind).toEqual('notHeld');
    await bench.wait(3 * DURATION);
    // The first write of the first holder only told it the era; it acquired the lease with the next.
    expect(second.state()).toEqual({ kind: 'held', generation: 3 });
  });
});
