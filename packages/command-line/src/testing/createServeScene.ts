import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import { stringify } from 'yaml';
import { checkQuestionnaire } from '@rattanreel/configuration';
import { createSystemClock, createSystemRandom, Debug } from '@rattanreel/core';
import { createObjectStoreClient } from '@rattanreel/platform';
import { createPlatformStandIn } from '@rattanreel/stand-in-platform';
import { createServiceStandIn } from '@rattanreel/stand-in-service';
import createDemoAnswers from '../demo/createDemoAnswers';
import type { Scene } from './types';

const API_KEY = 'test-key-workshop';

interface ServeSceneOptions {
  /** Free loopback ports for callers and peers. */
  readonly ports: readonly number[];
  /** Time in which the backend server responds, in milliseconds. */
  readonly workDuration?: number;
  /** Memory and descriptors of the process, as its settings name them; not limited if absent. */
  readonly memoryMegabytes?: number | undefined;
  readonly descriptors?: number | undefined;
}

/** Creates a platform, an order book and the settings file of one entry host for `serve`. */
export default async function createServeScene(options: ServeSceneOptions): Promise<Scene> {
  const [callers, peers] = options.ports as [number, number];
  const platform = await createPlatformStandIn({});
  const orderBook = await createServiceStandIn({
    id: 'order-book-north',
    version: 'v1',
    serviceMilliseconds: options.workDuration ?? 20,
  });
  const answers = createDemoAnswers({
    platformUrl: platform.url,
    logLevel: 'info',
    operatorToken: 'test-token-operator',
    customers: [{ name: 'workshop', weight: 3, tier: 'urgent', apiKey: API_KEY }],
    places: [
      {
        name: 'north',
        entryHosts: [
          { name: 'north-1', callers: `127.0.0.1:${callers}`, peers: `127.0.0.1:${peers}` },
        ],
      },
    ],
    // No test of a scene calls the model.
    engines: [
      { name: 'engine-north', place: 'north', address: 'http://127.0.0.1:9', hardware: 'fast' },
    ],
    orderBooks: [{ name: orderBook.id, place: 'north', address: orderBook.address }],
  });
  const checked = checkQuestionnaire({ fileName: 'scene', text: answers });
  Debug.invariant(checked.kind === 'valid', 'scene-answers-invalid', () => JSON.stringify(checked));
  const valid = Debug.checkDefined(checked.kind === 'valid' ? checked : undefined, 'settings');
  const clock = createSystemClock();
  const random = createSystemRandom();
  const store = createObjectStoreClient({ url: platform.url, clock, random });
  await store.create('configuration', 'current', {
    kind: 'acceptedConfiguration',
    generation: 1,
    changeId: random.identifier(),
    author: 'scene',
    acceptedAt: clock.wallTime().toISOString(),
    settings: valid.settings,
  });
  await store.close();
  const folder = await mkdtemp(path.join(tmpdir(), 'serve-scene-'));
  const settingsFile = path.join(folder, 'north-1.yaml');
  const { memoryMegabytes, descriptors: maximumDescriptors } = options;
  const limits = { memoryMegabytes, maximumDescriptors };
  await writeFile(settingsFile, stringify({ ...valid.entryHosts[0], ...limits }));

  return {
    words: ['serve', '--settings', settingsFile],
    settingsFile,
    ports: { callers, peers },
    isReady: () =>
      request(`http://127.0.0.1:${callers}/readyz`).then(
        async (response) => {
          await response.body.dump();
          return response.statusCode === 200;
        },
        () => false,
      ),
    // An order's reference is its request.
    listBegun: () => new Set(orderBook.getAudit().bookings.map(({ name }) => name)),
    createRequest: (id, kind) => ({
      method: kind === 'order' ? 'POST' : 'GET',
      path: '/services/order-book/orders',
      headers: {
        authorization: `Bearer ${API_KEY}`,
        'content-type': 'application/json',
        ...(kind === 'order' && { 'idempotency-key': id }),
      },
      body: kind === 'order' ? JSON.stringify({ reference: id, item: 'hulls', quantity: 1 }) : '',
    }),
    async close() {
      await orderBook.close();
      await platform.close();
      await rm(folder, { recursive: true });
    },
  };
}
