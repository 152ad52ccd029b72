import { describe, it } from 'node:test';
import { expect } from 'earl';
import { fail, ok } from '@rattanreel/core';
import createPlacementController from './createPlacementController';
import type {
  EngineState,
  PlacedServer,
  PlacementController,
  PlacementDemand,
  PlacementEffect,
  PlacementMessage,
  SendOrder,
} from './types';

const SECOND = 1000;
/** When a new lease holder may send orders: lease duration, maximum order time and maximum report delay have passed. */
const SENDING_ALLOWED_AT = 23 * SECOND;
const AMPLE_BUDGET = { loadsPerMinute: 6000, burst: 10 };

function createPlacedServer(id: string, fields: Partial<PlacedServer> = {}): PlacedServer {
  return {
    backendServer: id,
    pool: 'drafts',
    checksFencing: true,
    throughput: 10,
    version: '1',
    incarnation: 'a',
    ready: true,
    cold: false,
    leaving: false,
    drained: false,
    role: 'both',
    running: 0,
    ...fields,
  };
}

function createDemand(first: number, second: number): PlacementDemand {
  return {
    versions: [
      { pool: 'drafts', version: '1', work: first, carriesTraffic: true },
      { pool: 'drafts', version: '2', work: second, carriesTraffic: second > 0 },
    ],
    adapters: [],
    roles: [],
  };
}

interface Fixture {
  readonly controller: PlacementController;
  at(now: number, ...messages: readonly PlacementMessage[]): readonly SendOrder[];
  /** All effects so far. */
  readonly effects: PlacementEffect[];
}

function createFixture(budget = AMPLE_BUDGET): Fixture {
  const controller = createPlacementController({ failureDomain: 'rennes', loadBudget: budget });
  const effects: PlacementEffect[] = [];
  return {
    controller,
    effects,
    at(now, ...messages) {
      const all = messages.flatMap((message) => controller.handle(message, now));
      effects.push(...all);
      return all.filter((effect) => effect.kind === 'sendOrder');
    },
  };
}

function createLeaseChanged(generation: number): PlacementMessage {
  return { kind: 'leaseChanged', lease: { kind: 'held', generation } };
}

function createServersReported(...servers: readonly PlacedServer[]): PlacementMessage {
  return { kind: 'serversReported', servers };
}

function createDemandChanged(demand: PlacementDemand): PlacementMessage {
  return { kind: 'demandChanged', demand };
}

const tick: PlacementMessage = { kind: 'timePassed' };

describe(createPlacementController.name, () => {
  const planned: readonly {
    readonly name: string;
    readonly servers: readonly PlacedServer[];
    readonly demand: PlacementDemand;
    readonly ordered: string | undefined;
  }[] = [
    {
      name: 'loads the new version on the server with the fewest running requests',
      servers: [createPlacedServer('a', { running: 5 }), createPlacedServer('b', { running: 1 })],
      demand: createDemand(5, 1),
      ordered: 'b',
    },
    {
      name: 'prefers a server whose version has no demand',
      servers: [
        createPlacedServer('a'),
        createPlacedServer('b'),
        createPlacedServer('c', { version: '0', running: 9 }),
      ],
      demand: createDemand(5, 1),
      ordered: 'c',
    },
    {
      name: 'keeps the last server of a version that carries traffic',
      servers: [createPlacedServer('a')],
      demand: createDemand(5, 1),
      ordered: undefined,
    },
    {
      name: 'keeps the last ready server beside one that is loading',
      servers: [createPlacedServer('a'), createPlacedServer('b', { ready: false })],
      demand: createDemand(5, 1),
      ordered: 'b',
    },
    {
      name: 'counts a cold server in part',
      servers: [
        createPlacedServer('a'),
        createPlacedServer('b', { cold: true }),
        createPlacedServer('c', { cold: true }),
      ],
      demand: createDemand(14, 1),
      ordered: undefined,
    },
    {
      name: 'keeps the servers that a version needs for its demand',
      servers: [createPlacedServer('a'), createPlacedServer('b')],
      demand: createDemand(15, 1),
      ordered: undefined,
    },
    {
      name: 'plans nothing when a server that is loading will cover the demand',
      servers: [createPlacedServer('a'), createPlacedServer('b', { version: '2', ready: false })],
      demand: createDemand(5, 5),
      ordered: undefined,
    },
    {
      name: 'skips drained and leaving servers',
      servers: [
        createPlacedServer('a', { running: 9 }),
        createPlacedServer('b', { drained: true }),
        createPlacedServer('c', { leaving: true }),
        createPlacedServer('d', { running: 3 }),
      ],
      demand: createDemand(5, 1),
      ordered: 'd',
    },
  ];
  for (const { name, servers, demand, ordered } of planned) {
    it(name, () => {
      const fixture = createFixture();
      fixture.at(
        0,
        createLeaseChanged(3),
        createServersReported(...servers),
        createDemandChanged(demand),
      );
      const [order] = fixture.at(SENDING_ALLOWED_AT + SECOND, tick);
      expect(order?.backendServer).toEqual(ordered);
      if (order !== undefined) {
        expect(order.fence).toEqual(3);
      }
    });
  }

  it('orders nothing without the lease and nothing after losing it', () => {
    const fixture = createFixture();
    fixture.at(
      0,
      createServersReported(createPlacedServer('a'), createPlacedServer('b')),
      createDemandChanged(createDemand(5, 1)),
    );
    expect(fixture.at(SENDING_ALLOWED_AT + SECOND, tick)).toEqual([]);
    fixture.at(SENDING_ALLOWED_AT + SECOND, createLeaseChanged(1));
    fixture.at(SENDING_ALLOWED_AT + SECOND, { kind: 'leaseChanged', lease: { kind: 'notHeld' } });
    expect(fixture.at(SENDING_ALLOWED_AT + 2 * SECOND, tick)).toEqual([]);
  });

  it('waits until the orders of an earlier holder appear in reports, even if servers check fencing tokens', () => {
    const fixture = createFixture();
    fixture.at(
      0,
      createLeaseChanged(1),
      createServersReported(createPlacedServer('a'), createPlacedServer('b')),
      createDemandChanged(createDemand(5, 1)),
    );
    expect(fixture.at(SENDING_ALLOWED_AT - 1, tick)).toEqual([]);
    expect(fixture.at(SENDING_ALLOWED_AT, tick).length).toEqual(1);
  });

  it('stops when a backend server has received an order of a newer holder', () => {
    const fixture = createFixture();
    fixture.at(
      0,
      createLeaseChanged(1),
      createServersReported(createPlacedServer('a'), createPlacedServer('b')),
      createDemandChanged(createDemand(5, 1)),
    );
    const [order] = fixture.at(SENDING_ALLOWED_AT + SECOND, tick);
    const outcome = fail({ kind: 'staleFence' as const, fence: 2 });
    fixture.at(SENDING_ALLOWED_AT + SECOND, {
      kind: 'orderAnswered',
      backendServer: order!.backendServer,
      outcome,
    });
    expect(fixture.at(SENDING_ALLOWED_AT + 200 * SECOND, tick)).toEqual([]);
  });

  const failed = [
    { name: 'a refusal', error: { kind: 'refused', status: 503, detail: '' }, orders: 1 },
    { name: 'an unknown outcome', error: { kind: 'outcomeUnknown', detail: '' }, orders: 0 },
  ] as const;
  for (const { name, error, orders } of failed) {
    it(`orders ${orders} more after ${name}`, () => {
      const fixture = createFixture();
      const servers = [createPlacedServer('a'), createPlacedServer('b'), createPlacedServer('c')];
      fixture.at(
        0,
        createLeaseChanged(1),
        createServersReported(...servers),
        createDemandChanged(createDemand(5, 1)),
      );
      const [order] = fixture.at(SENDING_ALLOWED_AT + SECOND, tick);
      const { backendServer } = order!;
      fixture.at(SENDING_ALLOWED_AT + SECOND, {
        kind: 'orderAnswered',
        backendServer,
        outcome: fail(error),
      });
      expect(fixture.at(SENDING_ALLOWED_AT + 2 * SECOND, tick).length).toEqual(orders);
    });
  }

  it('logs why the alternatives were not chosen', () => {
    const fixture = createFixture();
    const servers = [
      createPlacedServer('a'),
      createPlacedServer('b', { drained: true }),
      createPlacedServer('c'),
    ];
    fixture.at(
      0,
      createLeaseChanged(1),
      createServersReported(...servers),
      createDemandChanged(createDemand(5, 1)),
    );
    fixture.at(SENDING_ALLOWED_AT + SECOND, tick);
    const logged = fixture.effects.find((effect) => effect.kind === 'logPlacement');
    expect(logged?.decision.alternatives).toEqual([
      { backendServer: 'b', reason: 'drained' },
      { backendServer: 'c', reason: 'worseChoice' },
    ]);
  });

  it('limits loads to the budget and starts with an empty bucket', () => {
    const fixture = createFixture({ loadsPerMinute: 2, burst: 1 });
    const servers = ['a', 'b', 'c', 'd', 'e'].map((id) => createPlacedServer(id));
    fixture.at(
      0,
      createLeaseChanged(1),
      createServersReported(...servers),
      createDemandChanged(createDemand(5, 40)),
    );
    const sent: number[] = [];
    const loading = new Set<string>();
    for (let now = 0; now <= 120 * SECOND; now += SECOND) {
      for (const order of fixture.at(now, tick)) {
        sent.push(now / SECOND);
        loading.add(order.backendServer);
        fixture.at(now, {
          kind: 'orderAnswered',
          backendServer: order.backendServer,
          outcome: ok(undefined),
        });
        const next = servers.map((server) =>
          loading.has(server.backendServer) ? { ...server, version: '2' } : server,
        );
        fixture.at(now, createServersReported(...next));
      }
    }
    expect(sent).toEqual([30, 60, 90, 120]);
  });

  it('loads an adapter on the wanted number of servers of its version, and again after a restart', () => {
    const fixture = createFixture();
    const adapters = [{ pool: 'drafts', version: '1', adapter: 'felt', servers: 1 }];
    const demand = { ...createDemand(5, 0), adapters };
    fixture.at(
      0,
      createLeaseChanged(1),
      createServersReported(createPlacedServer('a'), createPlacedServer('b', { version: '9' })),
      createDemandChanged(demand),
    );
    const [order] = fixture.at(SENDING_ALLOWED_AT + SECOND, tick);
    expect(order?.backendServer).toEqual('a');
    expect(order?.order).toEqual({ order: 'loadAdapter', adapter: 'felt' });
    fixture.at(SENDING_ALLOWED_AT + SECOND, {
      kind: 'orderAnswered',
      backendServer: 'a',
      outcome: ok(undefined),
    });
    expect(fixture.at(SENDING_ALLOWED_AT + 2 * SECOND, tick)).toEqual([]);
    fixture.at(
      SENDING_ALLOWED_AT + 3 * SECOND,
      createServersReported(createPlacedServer('a', { incarnation: 'b' })),
    );
    expect(fixture.at(SENDING_ALLOWED_AT + 4 * SECOND, tick).length).toEqual(1);
  });

  it('changes a role when too few servers have it', () => {
    const fixture = createFixture();
    const roles = [
      { pool: 'drafts', role: 'both', servers: 1 },
      { pool: 'drafts', role: 'prefill', servers: 1 },
    ];
    const servers = [createPlacedServer('a'), createPlacedServer('b', { running: 2 })];
    fixture.at(
      0,
      createLeaseChanged(1),
      createServersReported(...servers),
      createDemandChanged({ ...createDemand(5, 0), roles }),
    );
    const [order] = fixture.at(SENDING_ALLOWED_AT + SECOND, tick);
    expect(order?.order).toEqual({ order: 'setRole', role: 'prefill' });
    fixture.at(
      SENDING_ALLOWED_AT + SECOND,
      createServersReported(createPlacedServer('a', { role: 'prefill' }), createPlacedServer('b')),
    );
    expect(fixture.at(SENDING_ALLOWED_AT + 2 * SECOND, tick)).toEqual([]);
  });
});

describe('servers that ignore fencing tokens', () => {
  const unfenced = { checksFencing: false };
  const state: EngineState = { incarnation: 'a', version: '2', role: 'both', ready: false };

  it('waits until orders of an earlier holder have taken effect, then sends one at a time', () => {
    const fixture = createFixture();
    const servers = ['a', 'b', 'c'].map((id) => createPlacedServer(id, unfenced));
    const roles = [{ pool: 'drafts', role: 'decode', servers: 1 }];
    const demand = { ...createDemand(5, 10), roles };
    fixture.at(
      0,
      createLeaseChanged(1),
      createServersReported(...servers),
      createDemandChanged(demand),
    );
    expect(fixture.at(SENDING_ALLOWED_AT - 1, tick)).toEqual([]);
    expect(fixture.at(SENDING_ALLOWED_AT, tick).length).toEqual(1);
    expect(fixture.at(SENDING_ALLOWED_AT + 1, tick)).toEqual([]);
    const sent = fixture.effects.find((effect) => effect.kind === 'sendOrder')!;
    const outcome = ok(undefined);
    const { backendServer } = sent;
    fixture.at(SENDING_ALLOWED_AT + 2, { kind: 'orderAnswered', backendServer, outcome });
    expect(fixture.at(SENDING_ALLOWED_AT + 3, tick).length).toEqual(1);
  });

  it('sends an order again when an earlier holder’s order overwrites it, and stops reading once none can', () => {
    const fixture = createFixture();
    const servers = [
      createPlacedServer('a', unfenced),
      createPlacedServer('b', { ...unfenced, running: 1 }),
    ];
    fixture.at(
      0,
      createLeaseChanged(2),
      createServersReported(...servers),
      createDemandChanged(createDemand(5, 1)),
    );
    fixture.at(SENDING_ALLOWED_AT, tick);
    const sentAt = SENDING_ALLOWED_AT;
    const answered = { kind: 'orderAnswered', backendServer: 'a', outcome: ok(undefined) } as const;
    fixture.at(sentAt + 10, answered);
    fixture.at(sentAt + 2 * SECOND, tick);
    expect(fixture.effects.filter(({ kind }) => kind === 'readState').length).toEqual(1);
    const old = { ...state, version: '1' };
    const again = fixture.at(sentAt + 2 * SECOND, {
      kind: 'stateRead',
      backendServer: 'a',
      state: old,
    });
    expect(again.map(({ order }) => order)).toEqual([{ order: 'loadVersion', version: '2' }]);
    fixture.at(sentAt + 3 * SECOND, answered);
    for (let now = sentAt + 4 * SECOND; now <= sentAt + 60 * SECOND; now += SECOND) {
      fixture.at(now, tick);
      fixture.at(now, { kind: 'stateRead', backendServer: 'a', state });
    }
    const reads = fixture.effects.filter(({ kind }) => kind === 'readState').length;
    fixture.at(sentAt + 90 * SECOND, tick);
    expect(fixture.effects.filter(({ kind }) => kind === 'readState').length).toEqual(reads);
  });
});
