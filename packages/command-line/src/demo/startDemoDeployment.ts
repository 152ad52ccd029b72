import { checkQuestionnaire } from '@rattanreel/configuration';
import type { AcceptedConfiguration } from '@rattanreel/configuration';
import { createSystemClock, createSystemRandom, Debug } from '@rattanreel/core';
import { createEntryHost } from '@rattanreel/entry-host';
import type { EntryHost } from '@rattanreel/entry-host';
import { createObjectStoreClient } from '@rattanreel/platform';
import { createEngineStandIn } from '@rattanreel/stand-in-engine';
import type { EngineStandIn } from '@rattanreel/stand-in-engine';
import { createPlatformStandIn } from '@rattanreel/stand-in-platform';
import { createServiceStandIn } from '@rattanreel/stand-in-service';
import createDemoAnswers from './createDemoAnswers';
import findFreePorts from './findFreePorts';
import type { DemoCustomer, DemoDeployment, DemoOptions, DemoPlace } from './types';

const PLACES = ['north', 'east', 'west'];
const ENTRY_HOSTS_PER_PLACE = 2;
const READINESS_POLL_INTERVAL_MS = 50;

const CUSTOMERS: readonly DemoCustomer[] = [
  { name: 'workshop', weight: 3, tier: 'urgent', apiKey: 'test-key-workshop' },
  { name: 'office', weight: 2, tier: 'urgent', apiKey: 'test-key-office' },
  { name: 'school', weight: 1, tier: 'standard', apiKey: 'test-key-school' },
];

async function createPlaces(): Promise<readonly DemoPlace[]> {
  const ports = [...(await findFreePorts(PLACES.length * ENTRY_HOSTS_PER_PLACE * 2))];
  function nextAddress(): string {
    return `127.0.0.1:${ports.pop()}`;
  }
  return PLACES.map((name) => ({
    name,
    entryHosts: Array.from({ length: ENTRY_HOSTS_PER_PLACE }, (ignored, index) => ({
      name: `${name}-${index + 1}`,
      callers: nextAddress(),
      peers: nextAddress(),
    })),
  }));
}

function startEngines(seed: number): Promise<readonly EngineStandIn[]> {
  return Promise.all(
    PLACES.flatMap((place, index) => [
      createEngineStandIn({
        id: `engine-${place}-fast`,
        version: 'v1',
        generation: 'fourth',
        hardware: { memoryTokens: 60_000, maximumStreams: 16 },
        checksFencing: true,
        seed: seed + index,
      }),
      createEngineStandIn({
        id: `engine-${place}-slow`,
        version: 'v1',
        generation: 'second',
        hardware: { memoryTokens: 30_000, maximumStreams: 8 },
        seed: seed + PLACES.length + index,
      }),
    ]),
  );
}

async function waitUntilReady(entryHosts: readonly EntryHost[]): Promise<void> {
  while (!entryHosts.every((entryHost) => entryHost.isReady())) {
    await new Promise((resolve) => {
      setTimeout(resolve, READINESS_POLL_INTERVAL_MS);
    });
  }
}

/** Starts stand-ins and entry hosts in this process, with settings from generated answers. */
export default async function startDemoDeployment(options: DemoOptions): Promise<DemoDeployment> {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const platform = await createPlatformStandIn({});
  const engines = await startEngines(options.seed);
  const orderBooks = await Promise.all(
    PLACES.map((place) => createServiceStandIn({ id: `order-book-${place}`, version: 'v1' })),
  );
  const answers = createDemoAnswers({
    platformUrl: platform.url,
    logLevel: options.logLevel,
    operatorToken: 'test-token-operator',
    customers: CUSTOMERS,
    places: await createPlaces(),
    engines: engines.map(({ id, address }, index) => ({
      name: id,
      place: PLACES[Math.floor(index / 2)]!,
      address,
      hardware: index % 2 === 0 ? 'fast' : 'slow',
    })),
    orderBooks: orderBooks.map(({ id, address }, index) => ({
      name: id,
      place: PLACES[index]!,
      address,
    })),
  });
  const checked = checkQuestionnaire({ fileName: 'demo', text: answers });
  Debug.invariant(checked.kind === 'valid', 'demo-answers-invalid', () => JSON.stringify(checked));
  const valid = Debug.checkDefined(checked.kind === 'valid' ? checked : undefined, 'demo settings');

  const store = createObjectStoreClient({ url: platform.url, clock, random });
  await store.create<AcceptedConfiguration>('configuration', 'current', {
    kind: 'acceptedConfiguration',
    generation: 1,
    changeId: random.identifier(),
    author: 'demo',
    acceptedAt: clock.wallTime().toISOString(),
    settings: valid.settings,
  });
  await store.close();
  const entryHosts = await Promise.all(
    valid.entryHosts.map(async (settings) => {
      const started = await createEntryHost({ settings });
      return Debug.checkDefined(started.kind === 'ok' ? started.value : undefined, 'entry host');
    }),
  );
  await waitUntilReady(entryHosts);

  return {
    platform,
    engines,
    orderBooks,
    entryHosts,
    customers: CUSTOMERS,
    async stop() {
      await Promise.all(entryHosts.map((entryHost) => entryHost.stop()));
      await Promise.all([...engines, ...orderBooks].map((standIn) => standIn.close()));
      await platform.close();
    },
  };
}
