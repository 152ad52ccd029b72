import { describe, it } from 'node:test';
import { expect } from 'earl';
import createPoolScheduler from './createPoolScheduler';
import type {
  GrantReleased,
  GrantRequested,
  PoolBackendServer,
  PoolChanged,
  PoolScheduler,
  PoolSchedulerOptions,
  SchedulerEffect,
  SchedulerMessage,
} from './types';

const HOST = { entryHost: 'h1', incarnation: 'i1' };

function asked(request: string, changes: Partial<GrantRequested> = {}): GrantRequested {
  return {
    kind: 'grantRequested',
    request,
    from: HOST,
    homeDomain: 'd1',
    tier: 1,
    customer: 'c1',
    customerWeight: 1,
    route: 'chat',
    promptTokens: 100,
    maximumOutputTokens: 100,
    prefixHashes: [],
    age: 0,
    firstTokenDue: 5_000,
    due: 30_000,
    stamp: 7,
    ...changes,
  };
}

function backendServer(id: string, changes: Partial<PoolBackendServer> = {}): PoolBackendServer {
  return {
    id,
    hardware: 'x',
    version: 'v1',
    memoryTokens: 10_000,
    maximumStreams: 1,
    drained: false,
    ...changes,
  };
}

function pool(changes: Partial<PoolChanged> = {}): PoolChanged {
  return {
    kind: 'poolChanged',
    backendServers: [backendServer('e1')],
    shares: [{ version: 'v1', share: 1 }],
    tiers: 3,
    domainDrained: false,
    neighbours: [],
    ...changes,
  };
}

function released(request: string, changes: Partial<GrantReleased> = {}): GrantReleased {
  return {
    kind: 'grantReleased',
    request,
    from: HOST,
    backendServer: 'e1',
    outcome: 'completed',
    cachedTokens: 0,
    outputTokens: 50,
    firstTokenAfter: 20,
    duration: 1_000,
    ...changes,
  };
}

function create(changes: Partial<PoolSchedulerOptions> = {}): PoolScheduler {
  return createPoolScheduler({
    pool: 'p',
    failureDomain: 'd1',
    handover: false,
    startedAt: 0,
    seed: 1,
    ...changes,
  });
}

function describeEffect(effect: SchedulerEffect): string {
  switch (effect.kind) {
    case 'grant':
      return `grant ${effect.request} ${effect.backendServer}`;
    case 'refusal':
      return `refuse ${effect.request} ${effect.reason}`;
    case 'spillOver':
      return `spill ${effect.request} ${effect.failureDomain}`;
    case 'cancelAtBackendServer':
      return `cancel ${effect.request} ${effect.backendServer}`;
    case 'standingChanged':
      return `${effect.standing} ${effect.backendServer}`;
    case 'versionEvidence':
      return `evidence ${effect.version}`;
    default:
      return effect satisfies never;
  }
}

type Step = readonly [at: number, message: SchedulerMessage];

function run(scheduler: PoolScheduler, steps: readonly Step[]): string[] {
  return steps
    .flatMap(([at, message]) => scheduler.handle(message, at))
    .filter((effect) => effect.kind !== 'versionEvidence' && effect.kind !== 'standingChanged')
    .map(describeEffect);
}

describe(createPoolScheduler.name, () => {
  const cases: {
    name: string;
    options?: Partial<PoolSchedulerOptions>;
    steps: readonly Step[];
    effects: readonly string[];
  }[] = [
    {
      name: 'grants to a free backend server',
      steps: [
        [0, pool()],
        [0, asked('a')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'serves the higher tier first when a slot comes back',
      steps: [
        [0, pool()],
        [0, asked('a')],
        [1, asked('low', { tier: 2 })],
        [2, asked('high', { tier: 0 })],
        [100, released('a')],
        [200, released('high')],
      ],
      effects: ['grant a e1', 'grant high e1', 'grant low e1'],
    },
    {
      name: 'evicts the newest of the lowest tier on overflow',
      options: { policy: { queueCapacity: 2 } },
      steps: [
        [0, pool()],
        [0, asked('a')],
        [1, asked('low1', { tier: 2 })],
        [2, asked('low2', { tier: 2 })],
        [3, asked('high', { tier: 0 })],
      ],
      effects: ['grant a e1', 'refuse low2 evictedByHigherTier'],
    },
    {
      name: 'repeats the grant of a request that is asked for again',
      steps: [
        [0, pool()],
        [0, asked('a')],
        [9, asked('a', { age: 9, stamp: 16 })],
      ],
      effects: ['grant a e1', 'grant a e1'],
    },
    {
      name: 'ignores a late repetition of a finished request',
      steps: [
        [0, pool()],
        [0, asked('a')],
        [50, released('a')],
        [60, asked('a')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'drops a withdrawn request at once',
      steps: [
        [0, pool()],
        [0, asked('a')],
        [1, asked('b')],
        [2, { kind: 'grantWithdrawn', request: 'b', from: HOST }],
        [50, released('a')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'frees the slots of a dead incarnation after the longest grant and cancels what it left',
      steps: [
        [0, pool()],
        [0, asked('a')],
        [1, { kind: 'membersChanged', alive: [], dead: [HOST] }],
        [2, asked('b', { from: { entryHost: 'h2', incarnation: 'i1' } })],
        [500, { kind: 'timePassed' }],
        [1_001, { kind: 'timePassed' }],
      ],
      effects: ['grant a e1', 'cancel a e1', 'grant b e1'],
    },
    {
      name: 'waits at a handover until the wait is over and the entry hosts have reported',
      options: { handover: true },
      steps: [
        [0, pool()],
        [0, { kind: 'membersChanged', alive: [HOST], dead: [] }],
        [0, asked('a')],
        [1_000, { kind: 'timePassed' }],
        [1_100, { kind: 'inFlightReported', from: HOST, inFlight: [] }],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'spills to a neighbour with room before it refuses',
      steps: [
        [
          0,
          pool({
            backendServers: [],
            neighbours: [
              {
                failureDomain: 'd2',
                summaryAge: 0,
                spareTokens: 2_000,
                queuedTokens: 0,
                drained: false,
              },
            ],
          }),
        ],
        [0, asked('a', { tier: 0 })],
        [0, asked('b', { homeDomain: 'd3' })],
      ],
      effects: ['spill a d2', 'refuse b noBackendServer'],
    },
    {
      name: 'grants nothing in a drained failure domain',
      steps: [
        [0, pool()],
        [0, asked('a')],
        [1, asked('b', { tier: 0 })],
        [1, asked('c', { tier: 2 })],
        [2, pool({ domainDrained: true })],
        [3, released('a')],
      ],
      effects: ['grant a e1', 'refuse c domainDrained', 'refuse b domainDrained'],
    },
    {
      name: 'gives a vetoed version nothing',
      steps: [
        [0, pool()],
        [0, { kind: 'versionVetoed', version: 'v1' }],
        [1, asked('a')],
      ],
      effects: ['refuse a noBackendServer'],
    },
  ];
  for (const { name, options, steps, effects } of cases) {
    it(name, () => {
      expect(run(create(options), steps)).toEqual([...effects]);
    });
  }
});
