import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createSystemClock } from '@rattanreel/core';
import { createObjectStoreClient } from '@rattanreel/platform';
import type { PlatformClient, WatchEvent } from '@rattanreel/platform';
import createPlatformStandIn from './createPlatformStandIn';
import type { PlatformStandIn } from './types';

interface Fixture {
  readonly platform: PlatformStandIn;
  readonly client: PlatformClient;
}

async function withClient(test: (fixture: Fixture) => Promise<void>): Promise<void> {
  const platform = await createPlatformStandIn({ latency: 1, hostListLag: 0 });
  const client = createObjectStoreClient({
    url: platform.url,
    clock: createSystemClock(),
    random: createRandom(1),
    deadline: 1_500,
    callTimeout: 500,
  });
  try {
    await test({ platform, client });
  } finally {
    await client.close();
    await platform.close();
  }
}

describe(createPlatformStandIn.name, () => {
  const writes = [
    {
      name: 'creates an object once',
      run: async ({ client }: Fixture) => {
        await client.create('thing', 'a/b c', { size: 1 });
        return client.create('thing', 'a/b c', { size: 2 });
      },
      expected: {
        kind: 'error',
        error: {
          kind: 'conflict',
          current: { kind: 'thing', name: 'a/b c', version: 1, value: { size: 1 } },
        },
      },
    },
    {
      name: 'updates only the version named',
      run: async ({ client }: Fixture) => {
        await client.create('thing', 'a', 1);
        await client.update('thing', 'a', 2, 1);
        return client.update('thing', 'a', 3, 1);
      },
      expected: {
        kind: 'error',
        error: { kind: 'conflict', current: { kind: 'thing', name: 'a', version: 2, value: 2 } },
      },
    },
    {
      name: 'removes an object',
      run: async ({ client }: Fixture) => {
        await client.create('thing', 'a', 1);
        await client.remove('thing', 'a', 1);
        return client.get('thing', 'a');
      },
      expected: { kind: 'error', error: { kind: 'notFound' } },
    },
    {
      name: 'reports a write whose answer was lost as unknown',
      run: async ({ platform, client }: Fixture) => {
        platform.model.failNextWrite({ kind: 'loseAnswer' });
        return client.create('thing', 'a', 1);
      },
      expected: { kind: 'error', error: { kind: 'outcomeUnknown' } },
    },
    {
      name: 'reports an outage as unavailable',
      run: async ({ platform, client }: Fixture) => {
        platform.model.setFaults({ outage: 'refusing' });
        return client.create('thing', 'a', 1);
      },
      expected: {
        kind: 'error',
        error: { kind: 'unavailable', retryAfterMilliseconds: 1_000 },
      },
    },
  ];
  for (const { name, run, expected } of writes) {
    it(name, () =>
      withClient(async (fixture) => {
        const outcome: unknown = await run(fixture);
        expect(outcome).toEqual(expected);
      }),
    );
  }

  it('lists the objects and streams their changes', () =>
    withClient(async ({ client }) => {
      await client.create('thing', 'a', 1);
      const seen: WatchEvent[] = [];
      await new Promise<void>((resolve) => {
        client.watch('thing', (event) => {
          seen.push(event);
          if (event.kind === 'listed') {
            client.update('thing', 'a', 2, 1).catch(() => undefined);
          }
          if (event.kind === 'changed') {
            resolve();
          }
        });
      });
      const before = { kind: 'thing', name: 'a', version: 1, value: 1 };
      const after = { kind: 'thing', name: 'a', version: 2, value: 2 };
      expect(seen).toEqual([
        { kind: 'listed', list: { items: [before], version: 1 } },
        { kind: 'changed', object: after },
      ]);
    }));

  it('lists the hosts that were added', () =>
    withClient(async ({ platform, client }) => {
      const host = { id: 'host-1', state: 'live', address: '127.0.0.1:9000' } as const;
      platform.model.putHost(host);
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
      const hosts: unknown = await client.listHosts();
      expect(hosts).toEqual({ kind: 'ok', value: [host] });
    }));
});
