import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { expect } from 'earl';
import { createRandom, createSystemClock } from '@rattanreel/core';
import { createPlatformStandIn } from '@rattanreel/stand-in-platform';
import createObjectStoreClient from './createObjectStoreClient';
import type { PlatformClient, WatchEvent } from './types';

/** Time after which a loopback connection is open and idle. */
const SETTLING_TIME_MILLISECONDS = 50;

interface TcpProxy {
  readonly url: string;
  /** Stalls open connections without closing them; new connections work. */
  stall(): void;
  close(): void;
}

/** Creates a TCP proxy in front of the platform whose open connections can be stalled. */
async function createTcpProxy(target: string): Promise<TcpProxy> {
  const { hostname, port } = new URL(target);
  const sockets = new Set<Socket>();
  const server = createServer((incoming) => {
    const outgoing = connect(Number(port), hostname);
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket);
      socket.on('error', () => undefined);
    }
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    stall() {
      for (const socket of sockets) {
        socket.unpipe();
        socket.removeAllListeners('data');
        socket.pause();
      }
    },
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

async function withTcpProxy(
  test: (client: PlatformClient, proxy: TcpProxy) => Promise<void>,
): Promise<void> {
  const platform = await createPlatformStandIn({ latency: 1, bookmarkInterval: 50 });
  const proxy = await createTcpProxy(platform.url);
  const client = createObjectStoreClient({
    url: proxy.url,
    clock: createSystemClock(),
    random: createRandom(1),
    callTimeout: 400,
    deadline: 3_000,
    watchIdleTimeout: 800,
  });
  try {
    await test(client, proxy);
  } finally {
    await client.close();
    proxy.close();
    await platform.close();
  }
}

function describeChange(event: WatchEvent): string {
  return event.kind === 'changed' ? `changed to ${String(event.object.value)}` : event.kind;
}

describe(createObjectStoreClient.name, () => {
  it('abandons all open connections once a call on one of them has timed out', () =>
    withTcpProxy(async (client, proxy) => {
      const names = Array.from({ length: 12 }, (_, index) => `n${index}`);
      await Promise.all(names.map(() => client.list('thing')));
      proxy.stall();
      const list: unknown = await client.list('thing');
      expect(list).toEqual({ kind: 'ok', value: { items: [], version: 0 } });
      const writes = await Promise.all(names.map((name) => client.create('thing', name, 1)));
      expect(writes.map(({ kind }) => kind)).toEqual(names.map(() => 'ok'));
    }));

  it('reports an unknown outcome for a write on a stalled connection, and makes the next write on a new one', () =>
    withTcpProxy(async (client, proxy) => {
      await client.create('thing', 'a', 1);
      await setTimeout(SETTLING_TIME_MILLISECONDS);
      proxy.stall();
      const first: unknown = await client.update('thing', 'a', 2, 1);
      const second = await client.update('thing', 'a', 3, 1);
      expect([first, second.kind]).toEqual([
        { kind: 'error', error: { kind: 'outcomeUnknown' } },
        'ok',
      ]);
    }));

  it('lists again and continues to watch when the connection of the watch has stalled', () =>
    withTcpProxy(async (client, proxy) => {
      await client.create('thing', 'a', 1);
      const seen: string[] = [];
      await new Promise<void>((resolve) => {
        client.watch('thing', (event) => {
          seen.push(describeChange(event));
          if (seen.length === 1) {
            setTimeout(SETTLING_TIME_MILLISECONDS).then(proxy.stall, resolve);
          } else if (event.kind === 'listed') {
            client.update('thing', 'a', 2, 1).catch(() => undefined);
          } else if (event.kind === 'changed') {
            resolve();
          }
        });
      });
      expect(seen).toEqual(['listed', 'listed', 'changed to 2']);
    }));
});
