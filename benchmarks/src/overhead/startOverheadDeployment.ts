import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { performance } from 'node:perf_hooks';
import { Worker } from 'node:worker_threads';
import type { AcceptedConfiguration, DeploymentSettings } from '@rattanreel/configuration';
import { createSystemClock, createSystemRandom, Debug } from '@rattanreel/core';
import { createEntryHost } from '@rattanreel/entry-host';
import type { EntryHost } from '@rattanreel/entry-host';
import { createObjectStoreClient } from '@rattanreel/platform';
import type { MeasuredBatch, OverheadDeployment, StandInAddresses } from './types';

const API_KEY = 'benchmark-key';
const MEMORY_TOKENS = 10_000_000;
const MAXIMUM_STREAMS = 4_096;
const READINESS_POLL_INTERVAL_MILLISECONDS = 20;

function createSettings(engineAddress: string): DeploymentSettings {
  const apiKeyHash = createHash('sha256').update(API_KEY).digest('hex');
  return {
    kind: 'deploymentSettings',
    formatVersion: 1,
    deployment: 'overhead',
    failureDomains: [{ id: 'one', region: 'home' }],
    entryHosts: [
      {
        id: 'one-1',
        failureDomain: 'one',
        callerAddress: '127.0.0.1:1',
        peerAddress: '127.0.0.1:1',
      },
    ],
    tiers: [
      {
        id: 'only',
        firstTokenMilliseconds: 10_000,
        betweenTokensMilliseconds: 1_000,
        defaultDeadlineMilliseconds: 60_000,
      },
    ],
    customers: [{ id: 'only', weight: 1, tier: 'only', apiKeyHashes: [apiKeyHash] }],
    pools: [
      {
        kind: 'model',
        id: 'assistant',
        model: 'assistant',
        versions: ['v1'],
        currentVersion: 'v1',
      },
    ],
    backendServers: [
      {
        id: 'engine',
        pool: 'assistant',
        failureDomain: 'one',
        address: engineAddress,
        hardware: 'fast',
        version: 'v1',
        checksFencing: true,
        memoryTokens: MEMORY_TOKENS,
        maximumStreams: MAXIMUM_STREAMS,
      },
    ],
    administrators: [],
    drained: { failureDomains: [], entryHosts: [], backendServers: [] },
  };
}

/**
 * Starts a worker thread from a module of this folder; each thread has to register the TypeScript
 * loader itself.
 */
function startThread(module: string, data: unknown): Worker {
  const address = JSON.stringify(new URL(module, import.meta.url).href);
  const code = `import('tsx/esm/api').then(({ register }) => { register(); return import(${address}); });`;
  return new Worker(code, { eval: true, workerData: data });
}

async function receiveMessage<Message>(worker: Worker): Promise<Message> {
  const [message] = (await once(worker, 'message')) as [Message];
  return message;
}

async function storeSettings(addresses: StandInAddresses): Promise<void> {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const store = createObjectStoreClient({ url: addresses.platform, clock, random });
  await store.create<AcceptedConfiguration>('configuration', 'current', {
    kind: 'acceptedConfiguration',
    generation: 1,
    changeId: random.identifier(),
    author: 'benchmark',
    acceptedAt: clock.wallTime().toISOString(),
    settings: createSettings(addresses.engine),
  });
  await store.close();
}

async function startEntryHost(platformUrl: string): Promise<EntryHost> {
  const started = await createEntryHost({
    settings: {
      kind: 'entryHostSettings',
      entryHost: 'one-1',
      failureDomain: 'one',
      callerAddress: '127.0.0.1:0',
      peerAddress: '127.0.0.1:0',
      platformUrl,
      seedPeers: [],
      peerSecurity: { kind: 'plainLoopback' },
      logLevel: 'silent',
    },
  });
  const entryHost = Debug.checkDefined(
    started.kind === 'ok' ? started.value : undefined,
    'entry host',
  );
  while (!entryHost.isReady()) {
    await new Promise((resolve) => {
      setTimeout(resolve, READINESS_POLL_INTERVAL_MILLISECONDS);
    });
  }
  return entryHost;
}

/**
 * Starts the stand-ins and the callers on threads of their own, and one entry host on this thread.
 */
export default async function startOverheadDeployment(seed: number): Promise<OverheadDeployment> {
  const engines = startThread('./enginesWorker.ts', {
    seed,
    memoryTokens: MEMORY_TOKENS,
    maximumStreams: MAXIMUM_STREAMS,
  });
  const addresses = await receiveMessage<StandInAddresses>(engines);
  await storeSettings(addresses);
  const entryHost = await startEntryHost(addresses.platform);
  const callers = startThread('./callersWorker.ts', undefined);
  const authorization = `Bearer ${API_KEY}`;
  return {
    entryHost,
    direct: { name: 'direct', address: addresses.engine, authorization },
    throughEntryHost: {
      name: 'throughEntryHost',
      address: `http://${entryHost.callerAddress}`,
      authorization,
    },
    async measure(options) {
      const before = performance.eventLoopUtilization();
      callers.postMessage(options);
      const batch = await receiveMessage<MeasuredBatch>(callers);
      const { active } = performance.eventLoopUtilization(before);
      return { ...batch, busyMilliseconds: active };
    },
    async stop() {
      await entryHost.stop();
      await callers.terminate();
      await engines.terminate();
    },
  };
}
