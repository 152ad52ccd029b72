import type { CustomerId, Milliseconds, Random, VirtualClock } from '@rattanreel/core';
import type { SlotGrant, SlotRefusal } from '../admission/types';
import type createTestFleet from './createTestFleet';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestHost = TestFleet['hosts'][number];

interface TestLoadOptions {
  readonly fleet: TestFleet;
  /** Requests per second at each host. */
  readonly ratePerHost: number;
  readonly serviceTime: Milliseconds;
  readonly objective?: Milliseconds;
  readonly customer?: CustomerId;
  readonly cost?: number;
}

interface TestRequest {
  readonly host: TestHost;
  readonly askedAt: Milliseconds;
  grantedAt?: Milliseconds;
  endedAt?: Milliseconds;
  server?: string;
  refusal?: SlotRefusal;
}

const DEADLINE: Milliseconds = 4_000;

/** Lets each host of a test fleet ask for slots at random times; records what becomes of them. */
export default function createTestLoad(options: TestLoadOptions) {
  const { fleet, ratePerHost, serviceTime, objective = 400 } = options;
  const clock: VirtualClock = fleet.clock;
  const random: Random = fleet.random;
  const requests: TestRequest[] = [];
  const inFlight = new Map<string, number>();
  let mostInFlight = 0;
  let isRunning = true;

  function runAttempt(request: TestRequest, grant: SlotGrant): void {
    const { id } = grant.server;
    request.grantedAt = clock.now();
    request.server = id;
    const count = (inFlight.get(id) ?? 0) + 1;
    inFlight.set(id, count);
    mostInFlight = Math.max(mostInFlight, count);
    const duration = serviceTime * (0.5 + random.next());
    clock.after(duration, () => {
      inFlight.set(id, inFlight.get(id)! - 1);
      request.endedAt = clock.now();
      if (!request.host.isDown) {
        grant.complete({
          end: { kind: 'whole', status: 200 },
          duration,
          firstDataAfter: 100,
          laterChunks: 0,
          laterTime: 0,
          outputTokens: 50,
        });
      }
    });
  }

  function ask(host: TestHost): void {
    const now = clock.now();
    const request: TestRequest = { host, askedAt: now };
    requests.push(request);
    host.core.admission.requestSlot({
      requestId: `${host.name}-${requests.length}`,
      pool: 'pool',
      customer: options.customer,
      cost: options.cost ?? 0,
      priority: {
        rank: 0,
        floorRank: 0,
        isReturning: false,
        tier: 0,
        serveBy: now + objective,
        deadlineAt: now + DEADLINE,
      },
      outputTokens: 50,
      excludedServers: new Set(),
      onGranted: (grant) => runAttempt(request, grant),
      onRefused(refusal) {
        request.refusal = refusal;
        request.endedAt = clock.now();
      },
    });
  }

  function scheduleNext(host: TestHost): void {
    const gap = (-Math.log(1 - random.next()) * 1_000) / ratePerHost;
    clock.after(gap, () => {
      if (isRunning) {
        if (!host.isDown && !host.isFrozen) {
          ask(host);
        }
        scheduleNext(host);
      }
    });
  }

  fleet.hosts.forEach(scheduleNext);
  return {
    requests,
    /** Most requests that were in flight at one server at a time. */
    getMostInFlight: () => mostInFlight,
    countInFlight: (): number => [...inFlight.values()].reduce((sum, count) => sum + count, 0),
    stop(): void {
      isRunning = false;
    },
  };
}
