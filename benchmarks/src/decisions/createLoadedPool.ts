import type { Random } from '@rattanreel/core';
import { createRandom } from '@rattanreel/core';
import { createPoolScheduler } from '@rattanreel/scheduling';
import type { GrantRequested, PoolScheduler, SchedulerEffect } from '@rattanreel/scheduling';

const MEMORY_TOKENS = 1_000_000;
const STREAMS_PER_ENGINE = 4;
const TIERS = 5;
const CUSTOMERS = 740;
const PREFIX_BLOCKS = 8;
const HOST = { entryHost: 'host', incarnation: '1' };
const UNREACHED_DEADLINE_MILLISECONDS = 1e9;

/** A pool whose backend servers are full, with requests queued behind them. */
interface LoadedPool {
  readonly scheduler: PoolScheduler;
  /** Queues one more request; returns the number of grants that it caused. */
  request(now: number): number;
  /** Ends the oldest stream; returns the number of grants that it caused. */
  release(now: number): number;
}

interface LoadedPoolOptions {
  readonly engines: number;
  readonly queued: number;
  readonly seed: number;
}

function drawRequest(random: Random, sequence: number, now: number): GrantRequested {
  const customer = random.integer(1, CUSTOMERS);
  return {
    kind: 'grantRequested',
    request: `request-${sequence}`,
    from: HOST,
    homeDomain: 'domain',
    tier: random.integer(0, TIERS - 1),
    customer: `customer-${customer}`,
    customerWeight: 1,
    route: 'chat',
    promptTokens: random.integer(50, 2_000),
    maximumOutputTokens: random.integer(10, 500),
    prefixHashes: Array.from({ length: PREFIX_BLOCKS }, (_, block) => `${customer}-${block}`),
    age: 0,
    firstTokenDue: UNREACHED_DEADLINE_MILLISECONDS,
    due: UNREACHED_DEADLINE_MILLISECONDS,
    stamp: now,
  };
}

/** Creates a pool and fills its backend servers and its queue. */
export default function createLoadedPool(options: LoadedPoolOptions): LoadedPool {
  const random = createRandom(options.seed);
  const running: { request: string; backendServer: string }[] = [];
  const scheduler = createPoolScheduler({
    pool: 'pool',
    failureDomain: 'domain',
    needsHandover: false,
    startedAt: 0,
    seed: options.seed,
    policy: { queueCapacity: 2 * options.queued + 1_000, slowStartStreams: STREAMS_PER_ENGINE },
  });
  let sequence = 0;

  function recordGrants(effects: readonly SchedulerEffect[]): number {
    const before = running.length;
    effects.forEach((effect) => {
      if (effect.kind === 'grant') {
        running.push({ request: effect.request, backendServer: effect.backendServer });
      }
    });
    return running.length - before;
  }

  function request(now: number): number {
    sequence += 1;
    return recordGrants(scheduler.handle(drawRequest(random, sequence, now), now));
  }

  function reportFirstTokens(from: number, now: number): void {
    running.slice(from).forEach(({ request: id }) => {
      const seen = { request: id, from: HOST, firstTokenAfter: 50, cachedTokens: 0 };
      recordGrants(scheduler.handle({ kind: 'firstTokenSeen', ...seen }, now));
    });
  }

  scheduler.handle(
    {
      kind: 'poolChanged',
      backendServers: Array.from({ length: options.engines }, (_, index) => ({
        id: `engine-${index}`,
        hardware: 'third',
        version: 'v1',
        memoryTokens: MEMORY_TOKENS,
        maximumStreams: STREAMS_PER_ENGINE,
        drained: false,
      })),
      shares: [{ version: 'v1', share: 1 }],
      tiers: TIERS,
      domainDrained: false,
      remotePools: [],
    },
    0,
  );
  for (let filled = 0; filled < options.engines * STREAMS_PER_ENGINE; filled = running.length) {
    request(0);
    reportFirstTokens(filled, 0);
  }
  for (let queued = 0; queued < options.queued; queued += 1) {
    request(0);
  }

  return {
    scheduler,
    request,
    release(now) {
      const ended = running.shift()!;
      const before = running.length;
      recordGrants(
        scheduler.handle(
          {
            kind: 'grantReleased',
            ...ended,
            from: HOST,
            outcome: 'completed',
            cachedTokens: 0,
            outputTokens: 50,
            firstTokenAfter: 50,
            duration: 1_000,
          },
          now,
        ),
      );
      reportFirstTokens(before, now);
      return running.length - before;
    },
  };
}
