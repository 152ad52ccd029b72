import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { SlotGrant } from '../admission/types';
import createRequestClassifier from '../decisions/createRequestClassifier';
import createRouteTable from '../decisions/createRouteTable';
import planRequest from '../front/planRequest';
import type { RequestPlan } from '../front/types';
import createTimeCheck from '../lateness/createTimeCheck';
import createTestFleet from '../testing/createTestFleet';
import headerNames from '../testing/headerNames';
import type { ListedServer, RelayCustomer, Route } from '../types';
import createRequestExplainer from './createRequestExplainer';
import expectedRandom from './expectedRandom';
import type { RequestExplanation, RequestQuery } from './types';

const ROUTE: Route = {
  name: 'chat',
  hostName: 'models.example',
  pathPrefix: '/chat/',
  kind: 'idempotent',
  timeout: 3_000,
  objective: 800,
  tier: 0,
  targets: [{ pool: 'pool', weight: 1 }],
  maximumAttempts: 3,
  isAnonymous: false,
  isResumable: false,
};
const CUSTOMERS: readonly RelayCustomer[] = ['plain', 'limited'].map((name) => ({
  name,
  keys: [`key-${name}`],
  tier: undefined,
  quota: {
    ratePerSecond: name === 'limited' ? 1 : 10_000,
    burst: name === 'limited' ? 4 : 100_000,
    countsTokens: true,
    plainCost: 1,
  },
}));
const ROUTES = [ROUTE, { ...ROUTE, name: 'empty', pathPrefix: '/empty/' }].map((route) =>
  route.name === 'empty' ? { ...route, targets: [{ pool: 'unknown', weight: 1 }] } : route,
);
const POOL = { maximumConnections: 50, coldTime: 0, coldRate: 5, memoryTokens: undefined };
const QUERY: RequestQuery = {
  hostName: 'models.example',
  target: '/chat/one',
  customer: 'plain',
  outputTokens: 50,
};

async function createSubject(
  hosts = 1,
  domains = 1,
  servers: readonly Partial<ListedServer>[] | undefined = undefined,
) {
  const fleet = await createTestFleet({
    hosts,
    domains,
    serversPerDomain: 2,
    servers,
    configuration: {
      routes: ROUTES,
      pools: [{ ...POOL, name: 'pool' }],
      customers: CUSTOMERS,
    },
  });
  await fleet.advance(3_000);
  const host = fleet.hosts.at(-1)!;
  const { clock } = fleet;
  const { core } = host;
  const classifier = createRequestClassifier();
  const routes = createRouteTable(ROUTES);
  const customersByKey = new Map(CUSTOMERS.map((customer) => [customer.keys[0]!, customer]));
  let loopDelay = 0;
  const explain = createRequestExplainer({
    ...core,
    clock,
    host: host.name,
    failureDomain: host.domain,
    names: headerNames,
    classifier,
    timeCheck: createTimeCheck({
      clock,
      random: expectedRandom,
      loopDelay: { get: () => loopDelay },
      stopDeadline: { canFinish: () => true, watch: () => () => undefined },
      getExpectedDuration: (request) =>
        core.pools.getExpectedDuration(request.pool, request.outputTokens),
      isScheduledByOther: core.isScheduledByOther,
    }),
    getBasis: () => ({
      ...core.stateCache.getVersions(),
      ...core.peerTable.getFreshness(clock.now()),
    }),
    getRoutes: () => routes,
    getCustomersByKey: () => customersByKey,
  });
  let sent = 0;

  /** Sends a request of a customer; returns what became of it once it is decided. */
  function send(
    customer = 'plain',
    outputTokens = 50,
  ): { server?: string; reason?: string; grant?: SlotGrant } {
    sent += 1;
    const result = planRequest({
      headers: {
        host: ROUTE.hostName,
        [headerNames.key]: `key-${customer}`,
        [headerNames.tokenCount]: `0,${outputTokens}`,
        [headerNames.requestId]: `request-${sent}`,
      },
      exchange: {
        method: 'POST',
        target: QUERY.target,
        body: Buffer.from(''),
        arrivedAt: clock.now(),
      },
      names: headerNames,
      routes,
      customersByKey,
      classifier,
      random: fleet.random,
    });
    const { plan } = result as { readonly plan: RequestPlan };
    const fate: { server?: string; reason?: string; grant?: SlotGrant } = {};
    core.admission.requestSlot({
      ...plan,
      pool: 'pool',
      customer,
      excludedServers: new Set(),
      onGranted(grant) {
        fate.server = grant.server.id;
        fate.grant = grant;
      },
      onRefused({ reason }) {
        fate.reason = reason;
        classifier.recordRefusal(ROUTE.name, clock.now());
      },
    });
    return fate;
  }

  return {
    fleet,
    core,
    explain,
    send,
    setLoopDelay(delay: number) {
      loopDelay = delay;
    },
  };
}

type Subject = Awaited<ReturnType<typeof createSubject>>;

function describeOutcome(explanation: RequestExplanation): string {
  if (explanation.kind === 'rejected') {
    return explanation.code;
  }
  const { outcome } = explanation.targets[0]!;
  switch (outcome.kind) {
    case 'granted':
      return 'granted';
    case 'waiting':
      return outcome.cause;
    case 'refused':
      return outcome.reason;
    case 'scheduledElsewhere':
      return outcome.kind;
    default:
      return outcome satisfies never;
  }
}

function fill({ send }: Subject, count: number): void {
  Array.from({ length: count }, () => send());
}

describe('createRequestExplainer', () => {
  interface Case {
    readonly name: string;
    readonly query?: Partial<RequestQuery>;
    readonly prepare?: (subject: Subject) => void;
    readonly expected: string;
  }

  const cases: readonly Case[] = [
    { name: 'a path without a route', query: { target: '/nowhere' }, expected: 'unknownRoute' },
    { name: 'an unknown key', query: { customer: 'nobody' }, expected: 'unknownKey' },
    { name: 'free servers', expected: 'granted' },
    { name: 'a pool without servers', query: { target: '/empty/x' }, expected: 'noServer' },
    {
      name: 'a quota that is far from enough',
      query: { customer: 'limited', outputTokens: 500_000 },
      expected: 'overQuota',
    },
    {
      name: 'a late event loop',
      prepare: ({ setLoopDelay }) => setLoopDelay(5_000),
      expected: 'hostLate',
    },
    {
      name: 'taken slots',
      prepare: (subject) => fill(subject, 12),
      expected: 'noFreeServer',
    },
    {
      name: 'a long queue',
      prepare: (subject) => fill(subject, 300),
      expected: 'expectedLate',
    },
    {
      name: 'a quarantined prompt part',
      query: { promptParts: ['bad:100', 'own:10'] },
      prepare: ({ core }) =>
        core.crashGuard.merge({
          ended: [],
          traits: {},
          quarantined: { bad: { remaining: 60_000, strikes: 1 } },
        }),
      expected: 'quarantined',
    },
  ];

  cases.forEach(({ name, query, prepare, expected }) => {
    it(`explains ${name}; guards against an explanation that differs from the decision`, async () => {
      const subject = await createSubject();
      prepare?.(subject);
      const explanation = subject.explain({ ...QUERY, ...query });
      expect(describeOutcome(explanation)).toEqual(expected);
    });
  });

  const admitted: readonly {
    readonly fills: number;
    readonly customer: string;
    readonly tokens: number;
  }[] = [
    { fills: 0, customer: 'plain', tokens: 50 },
    { fills: 8, customer: 'plain', tokens: 50 },
    { fills: 12, customer: 'plain', tokens: 50 },
    { fills: 30, customer: 'limited', tokens: 50 },
    { fills: 300, customer: 'plain', tokens: 50 },
    { fills: 0, customer: 'limited', tokens: 500_000 },
  ];

  admitted.forEach(({ fills, customer, tokens }) => {
    it(`foretells a request of ${customer} after ${fills} others; guards against a copied decision`, async () => {
      const subject = await createSubject();
      fill(subject, fills);
      const foretold = describeOutcome(
        subject.explain({ ...QUERY, customer, outputTokens: tokens }),
      );
      const { server, reason } = subject.send(customer, tokens);
      const isWaiting = server === undefined && reason === undefined;
      const happened = isWaiting ? 'noFreeServer' : (reason ?? 'granted');
      expect(foretold).toEqual(happened);
    });
  });

  it('says why each server is passed over, and by which figures', async () => {
    const subject = await createSubject();
    subject.core.pools.markLeaving([{ id: 'server-0', startedAt: 1 }]);
    const explanation = subject.explain(QUERY);
    const { targets } = explanation as Extract<RequestExplanation, { readonly kind: 'planned' }>;
    const verdicts = targets[0]!.servers.map(({ server, passedOver }) => [server, passedOver]);
    expect(verdicts).toEqual([
      ['server-0', 'leaving'],
      ['server-1', undefined],
    ]);
    expect(targets[0]!.outcome).toEqual({ kind: 'granted', server: 'server-1' });
  });

  it('names the scheduler of a large fleet; guards against an answer from unused pools', async () => {
    const subject = await createSubject(16, 2);
    const explanation = subject.explain(QUERY);
    expect(describeOutcome(explanation)).toEqual('scheduledElsewhere');
    const { scheduler } = explanation as Extract<RequestExplanation, { readonly kind: 'planned' }>;
    const { hosts } = subject.fleet;
    const granting = hosts.filter(
      ({ domain, core }) => domain === hosts.at(-1)!.domain && core.getRole().isGranting,
    );
    expect(granting.map(({ name }) => name)).toEqual([scheduler!.host.entryHost]);
    expect(scheduler?.status?.isServing).toEqual(true);
    expect(scheduler!.statusAge!).toBeLessThanOrEqual(600);
  });

  it('changes no later decision; guards against a query that draws, counts or spends', async () => {
    async function play(queries: number): Promise<readonly unknown[]> {
      const subject = await createSubject(1, 1, [{}, {}, { coldFor: 8_000 }]);
      const { core, fleet, send, explain } = subject;
      const fates = [];
      function query(count: number): void {
        for (let index = 0; index < count; index += 1) {
          explain({
            ...QUERY,
            target: index % 7 === 0 ? '/empty/x' : QUERY.target,
            customer: index % 3 === 0 ? 'limited' : 'plain',
            outputTokens: index * 10,
            deadline: 200 + index * 100,
          });
        }
      }
      for (let round = 0; round < 20; round += 1) {
        // Free slots, a short queue, and one so long that requests are refused.
        const size = [3, 20, 150][round % 3]!;
        query(queries / 40);
        const batch = Array.from({ length: size }, (_, index) =>
          send(index % 5 === 0 ? 'limited' : 'plain'),
        );
        fates.push(...batch);
        query(queries / 40);
        await fleet.advance(60);
        batch.forEach(({ grant }) => grant?.release());
        await fleet.advance(600);
      }
      const queue = core.pools.getQueue('pool');
      const priority = { tier: 0, rank: 0, floorRank: 0 } as RequestPlan['priority'];
      return [
        fates.map(({ server, reason }) => [server, reason]),
        queue.getState({ customer: 'plain', priority }),
        [...queue.getQueuedByRank()],
        core.pools.hasPool('unknown'),
        fleet.random.next(),
      ];
    }

    const undisturbed = await play(0);
    expect(await play(1_000)).toEqual(undisturbed);
  });
});
