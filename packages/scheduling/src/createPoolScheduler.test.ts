import { describe, it } from 'node:test';
import { expect } from 'earl';
import createPoolScheduler from './createPoolScheduler';
import type {
  GrantReleased,
  GrantRequested,
  LoadReported,
  RemotePool,
  PoolBackendServer,
  PoolChanged,
  PoolScheduler,
  PoolSchedulerOptions,
  SchedulerEffect,
  SchedulerMessage,
} from './types';

const HOST = { entryHost: 'h1', incarnation: 'i1' };

function createRequest(request: string, changes: Partial<GrantRequested> = {}): GrantRequested {
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
    remotePools: [],
    ...changes,
  };
}

function createRelease(request: string, changes: Partial<GrantReleased> = {}): GrantReleased {
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

function createInFlightReport(request: string): SchedulerMessage {
  const slot = { request, backendServer: 'e1', tier: 1, customer: 'c1', prefillDone: true };
  const size = { promptTokens: 100, maximumOutputTokens: 100 };
  return { kind: 'inFlightReported', from: HOST, inFlight: [{ ...slot, ...size }] };
}

function createFirstToken(request: string): SchedulerMessage {
  return { kind: 'firstTokenSeen', request, from: HOST, firstTokenAfter: 20, cachedTokens: 0 };
}

function createLoadReport(
  backendServerId: string,
  changes: Partial<LoadReported> = {},
): LoadReported {
  return {
    kind: 'loadReported',
    backendServer: backendServerId,
    backendServerIncarnation: 'old',
    reportAge: 0,
    runningRequests: 0,
    waitingRequests: 0,
    memoryTokensUsed: 0,
    memoryTokensTotal: 10_000,
    version: 'v1',
    ready: true,
    leaving: false,
    ...changes,
  };
}

function createRemotePool(failureDomain: string, spareTokens: number): RemotePool {
  return { failureDomain, summaryAge: 0, spareTokens, queuedTokens: 0, drained: false };
}

function create(changes: Partial<PoolSchedulerOptions> = {}): PoolScheduler {
  return createPoolScheduler({
    pool: 'p',
    failureDomain: 'd1',
    needsHandover: false,
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
        [0, createRequest('a')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'grants to the higher tier first when a slot is released',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, createRequest('low', { tier: 2 })],
        [2, createRequest('high', { tier: 0 })],
        [100, createRelease('a')],
        [200, createRelease('high')],
      ],
      effects: ['grant a e1', 'grant high e1', 'grant low e1'],
    },
    {
      name: 'evicts the newest of the lowest tier on overflow',
      options: { policy: { queueCapacity: 2 } },
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, createRequest('low1', { tier: 2 })],
        [2, createRequest('low2', { tier: 2 })],
        [3, createRequest('high', { tier: 0 })],
      ],
      effects: ['grant a e1', 'refuse low2 evictedByHigherTier'],
    },
    {
      name: 'resends the grant of a repeated request',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [9, createRequest('a', { age: 9, stamp: 16 })],
      ],
      effects: ['grant a e1', 'grant a e1'],
    },
    {
      name: 'ignores a late repetition of a finished request',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [50, createRelease('a')],
        [60, createRequest('a')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'removes a withdrawn request at once',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, createRequest('b')],
        [2, { kind: 'grantWithdrawn', request: 'b', from: HOST }],
        [50, createRelease('a')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'frees the slots of a dead incarnation after the longest grant and cancels what it left',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, { kind: 'membersChanged', alive: [], dead: [HOST] }],
        [2, createRequest('b', { from: { entryHost: 'h2', incarnation: 'i1' } })],
        [500, { kind: 'timePassed' }],
        [1_001, { kind: 'timePassed' }],
      ],
      effects: ['grant a e1', 'cancel a e1', 'grant b e1'],
    },
    {
      name: 'grants nothing during a handover until the wait is over and the entry hosts have reported',
      options: { needsHandover: true },
      steps: [
        [0, pool()],
        [0, { kind: 'membersChanged', alive: [HOST], dead: [] }],
        [0, createRequest('a')],
        [1_000, { kind: 'timePassed' }],
        [1_100, { kind: 'inFlightReported', from: HOST, inFlight: [] }],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'spills over to a failure domain with spare capacity before it refuses',
      steps: [
        [
          0,
          pool({
            backendServers: [],
            remotePools: [
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
        [0, createRequest('a', { tier: 0 })],
        [0, createRequest('b', { homeDomain: 'd3' })],
      ],
      effects: ['spill a d2', 'refuse b noBackendServer'],
    },
    {
      name: 'grants nothing in a drained failure domain',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, createRequest('b', { tier: 0 })],
        [1, createRequest('c', { tier: 2 })],
        [2, pool({ domainDrained: true })],
        [3, createRelease('a')],
      ],
      effects: ['grant a e1', 'refuse c domainDrained', 'refuse b domainDrained'],
    },
    {
      name: 'keeps the slot when an older grant of the same request is released',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [400, createRequest('a', { age: 400, stamp: 407 })],
        [401, createRelease('a', { outcome: 'notDispatched', echo: 7 })],
        [402, createRequest('b')],
        [403, createRelease('a', { outcome: 'notDispatched', echo: 407 })],
      ],
      effects: ['grant a e1', 'grant a e1', 'grant b e1'],
    },
    {
      name: 'releases the slot of a grant whose request is withdrawn',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, createRequest('b')],
        [2, { kind: 'grantWithdrawn', request: 'a', from: HOST }],
      ],
      effects: ['grant a e1', 'grant b e1'],
    },
    {
      name: 'ignores requests of a dead incarnation',
      steps: [
        [0, pool()],
        [0, { kind: 'membersChanged', alive: [], dead: [HOST] }],
        [1, createRequest('a')],
      ],
      effects: [],
    },
    {
      name: 'does not adopt a slot whose release came before the report',
      steps: [
        [0, pool()],
        [1, createRelease('old')],
        [2, createInFlightReport('old')],
        [3, createRequest('a')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'counts the requests in flight at an entry host before it grants after a handover',
      options: { needsHandover: true },
      steps: [
        [0, pool()],
        [0, { kind: 'membersChanged', alive: [HOST], dead: [] }],
        [1, createInFlightReport('old')],
        [2, createRequest('a')],
        [1_000, { kind: 'timePassed' }],
        [1_500, createRelease('old')],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'waits at most twice the handover wait for an entry host that sends no report',
      options: { needsHandover: true },
      steps: [
        [0, pool()],
        [0, { kind: 'membersChanged', alive: [HOST], dead: [] }],
        [2, createRequest('a')],
        [1_999, { kind: 'timePassed' }],
        [2_000, { kind: 'timePassed' }],
      ],
      effects: ['grant a e1'],
    },
    {
      name: 'defers the refusal of a late request until no lower tier waits',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, createRequest('low', { tier: 2 })],
        [2, createRequest('high', { tier: 0, firstTokenDue: 10 })],
        [12, { kind: 'timePassed' }],
        [13, { kind: 'timePassed' }],
      ],
      effects: ['grant a e1', 'refuse high deadlinePassed'],
    },
    {
      name: 'refuses a late request at once when no lower tier waits',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [2, createRequest('low', { tier: 2, firstTokenDue: 10 })],
        [13, { kind: 'timePassed' }],
      ],
      effects: ['grant a e1', 'refuse low deadlineCannotBeMet'],
    },
    {
      name: 'refuses a request that is too large for any backend server',
      steps: [
        [0, pool()],
        [0, createRequest('a', { promptTokens: 20_000 })],
      ],
      effects: ['refuse a tooLargeForAnyBackendServer'],
    },
    {
      name: 'never reserves more memory than a backend server has',
      steps: [
        [0, pool({ backendServers: [backendServer('e1', { maximumStreams: 8 })] })],
        [0, createRequest('a', { promptTokens: 6_000 })],
        [1, createFirstToken('a')],
        [2, createRequest('b', { promptTokens: 6_000 })],
        [3, createRelease('a')],
      ],
      effects: ['grant a e1', 'grant b e1'],
    },
    {
      name: 'grants nothing at a drained or leaving backend server',
      steps: [
        [
          0,
          pool({ backendServers: [backendServer('e1', { drained: true }), backendServer('e2')] }),
        ],
        [0, createRequest('a')],
        [1, createLoadReport('e2', { leaving: true })],
        [2, createRequest('b')],
      ],
      effects: ['grant a e2', 'refuse b noBackendServer'],
    },
    {
      name: 'limits a backend server by slow start, and again after a new incarnation',
      steps: [
        [0, pool({ backendServers: [backendServer('e1', { maximumStreams: 3 })] })],
        [0, createRequest('a')],
        [1, createRequest('b')],
        [20, createFirstToken('a')],
        [30, createLoadReport('e1', { backendServerIncarnation: 'new' })],
        [40, createRelease('a')],
        [50, createRequest('c')],
        [60, createRelease('b')],
      ],
      effects: ['grant a e1', 'grant b e1', 'grant c e1'],
    },
    {
      name: 'raises the stream limit after answers whose first tokens were not reported',
      steps: [
        [0, pool({ backendServers: [backendServer('e1', { maximumStreams: 3 })] })],
        [0, createRequest('a')],
        [1, createRequest('b')],
        [2, createRequest('c')],
        [20, createRelease('a')],
      ],
      effects: ['grant a e1', 'grant b e1', 'grant c e1'],
    },
    {
      name: 'grants to the customers of a tier in turn by cost',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [1, createRequest('b1')],
        [2, createRequest('b2')],
        [3, createRequest('c1', { customer: 'c2' })],
        [10, createRelease('a')],
        [20, createRelease('c1')],
        [30, createRelease('b1')],
      ],
      effects: ['grant a e1', 'grant c1 e1', 'grant b1 e1', 'grant b2 e1'],
    },
    {
      name: 'does not spill a request over twice',
      steps: [
        [0, pool({ backendServers: [], remotePools: [createRemotePool('d2', 50_000)] })],
        [0, createRequest('a', { homeDomain: 'd3' })],
      ],
      effects: ['refuse a noBackendServer'],
    },
    {
      name: 'spills over to only a part of the announced spare capacity, and to less of it for lower tiers',
      steps: [
        [0, pool({ backendServers: [], remotePools: [createRemotePool('d2', 800)] })],
        [0, createRequest('a', { tier: 2 })],
        [0, createRequest('b', { tier: 2 })],
        [0, createRequest('c', { tier: 2 })],
      ],
      effects: ['spill a d2', 'spill b d2', 'refuse c noBackendServer'],
    },
    {
      // Guards against using up all attempts of a request on one server that refuses connections.
      name: 'grants a request elsewhere that its server refused to connect',
      steps: [
        [0, pool({ backendServers: [backendServer('e1'), backendServer('e2')] })],
        ...[0, 10_000, 20_000, 30_000].flatMap((at): Step[] => [
          [at, createRequest(`fast-${at}`)],
          [at + 1, createRequest(`slow-${at}`)],
          [at + 20, createFirstToken(`fast-${at}`)],
          [at + 1_000, createFirstToken(`slow-${at}`)],
          [at + 200, createRelease(`fast-${at}`, { duration: 200 })],
          [
            at + 9_000,
            createRelease(`slow-${at}`, {
              backendServer: 'e2',
              firstTokenAfter: 1_000,
              duration: 9_000,
            }),
          ],
        ]),
        [50_000, createRequest('a')],
        [50_010, createRelease('a', { outcome: 'notConnected', outputTokens: 0 })],
        [50_020, createRequest('a')],
      ],
      effects: [
        ...[0, 10_000, 20_000, 30_000].flatMap((at) => [
          `grant fast-${at} e1`,
          `grant slow-${at} e2`,
        ]),
        'grant a e1',
        'grant a e2',
      ],
    },
    {
      // Guards against using up all attempts of a request while the other server is busy.
      name: 'waits for a busy server after the free one refused to connect',
      steps: [
        [0, pool({ backendServers: [backendServer('e1'), backendServer('e2')] })],
        [0, createRequest('a')],
        [1, createRequest('b')],
        [5, createRelease('a', { outcome: 'notConnected', outputTokens: 0 })],
        [6, createRequest('a')],
        [9, createRelease('b', { backendServer: 'e2', duration: 8 })],
      ],
      effects: ['grant a e1', 'grant b e2', 'grant a e2'],
    },
    {
      name: 'grants again to the only server that refused to connect',
      steps: [
        [0, pool()],
        [0, createRequest('a')],
        [5, createRelease('a', { outcome: 'notConnected', outputTokens: 0 })],
        [6, createRequest('a')],
      ],
      effects: ['grant a e1', 'grant a e1'],
    },
    {
      name: 'limits a version to its share',
      steps: [
        [
          0,
          pool({
            backendServers: [
              backendServer('old', { maximumStreams: 1 }),
              backendServer('new', { version: 'v2', maximumStreams: 8 }),
            ],
            shares: [
              { version: 'v1', share: 0.9 },
              { version: 'v2', share: 0.1 },
            ],
          }),
        ],
        [0, createRequest('a')],
        [1, createRequest('b')],
        [2, createFirstToken('a')],
        [3, createFirstToken('b')],
        [4, createRequest('c')],
      ],
      effects: ['grant a old', 'grant b new'],
    },
    {
      name: 'grants nothing to a vetoed version',
      steps: [
        [0, pool()],
        [0, { kind: 'versionVetoed', version: 'v1' }],
        [1, createRequest('a')],
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
