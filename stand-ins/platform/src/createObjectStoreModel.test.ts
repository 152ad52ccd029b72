import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { StoreReply } from '@rattanreel/platform';
import createObjectStoreModel from './createObjectStoreModel';
import runInVirtualTime from './runInVirtualTime';

const LATE_WRITE_DELAY: Milliseconds = 5_000;

function createFixture() {
  const clock = createVirtualClock();
  const model = createObjectStoreModel({ clock, random: createRandom(1), hostListLag: 3_000 });
  const finish = <Value>(work: Promise<Value>) => runInVirtualTime(clock, work);
  const create = (value: unknown) =>
    model.call({ kind: 'create', objectKind: 'thing', name: 'a', value });
  const read = () => finish(model.call({ kind: 'get', objectKind: 'thing', name: 'a' }));
  const wait = (span: Milliseconds) =>
    finish(
      new Promise<void>((resolve) => {
        clock.after(span, resolve);
      }),
    );
  return { model, finish, create, read, wait };
}

function getValue(reply: StoreReply): unknown {
  return reply.kind === 'object' ? reply.object.value : reply.kind;
}

describe(createObjectStoreModel.name, () => {
  const lateWrites = [
    { name: 'takes effect later', overtakenBy: undefined, before: 'notFound', after: 'late' },
    {
      name: 'has no effect when its condition has ceased to hold',
      overtakenBy: 'early',
      before: 'early',
      after: 'early',
    },
  ];
  for (const { name, overtakenBy, before, after } of lateWrites) {
    it(`a write that lands late ${name}`, async () => {
      const { model, finish, create, read, wait } = createFixture();
      model.failNextWrite({ kind: 'landLate', delay: LATE_WRITE_DELAY });
      create('late').catch(() => undefined);
      await wait(LATE_WRITE_DELAY / 2);
      if (overtakenBy !== undefined) {
        await finish(create(overtakenBy));
      }
      expect(getValue(await read())).toEqual(before);
      await wait(LATE_WRITE_DELAY);
      expect(getValue(await read())).toEqual(after);
    });
  }

  it('lists a host only after the configured lag', async () => {
    const { model, finish, wait } = createFixture();
    model.putHost({ id: 'a', state: 'live', address: '127.0.0.1:1' });
    const early: unknown = await finish(model.call({ kind: 'listHosts' }));
    await wait(3_000);
    const late: unknown = await finish(model.call({ kind: 'listHosts' }));
    expect([early, late]).toEqual([
      { kind: 'hosts', hosts: [] },
      { kind: 'hosts', hosts: [{ id: 'a', state: 'live', address: '127.0.0.1:1' }] },
    ]);
  });
});
