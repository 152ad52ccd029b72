import type { Milliseconds } from '@rattanreel/core';
import createTestCallers from './createTestCallers';
import createTestEngines from './createTestEngines';
import createTestFleet from './createTestFleet';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestEngines = ReturnType<typeof createTestEngines>;

/** Time after which a fleet that starts together is settled. */
const START_TIME: Milliseconds = 12_000;
const LOAD_TIME: Milliseconds = 20_000;
const DEADLINE: Milliseconds = 4_000;
const OBJECTIVE: Milliseconds = 400;
/** Requests per second of one test engine: four slots, 190 ms each on average. */
const ENGINE_RATE = 4 / 0.19;
const HOT = 'customer-hot';

interface HotCustomerOptions {
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly seed: number;
  /** Share of the capacity that each usual customer asks for. */
  readonly usualShare?: number;
  /** Share of the capacity that the hot customer asks for. */
  readonly hotShare?: number;
  /** Whether each customer's connections all lead to one host. */
  readonly isSticky?: boolean;
  readonly disturb?: (fleet: TestFleet, engines: TestEngines) => Promise<void>;
}

/** Plays six customers of which one asks for ten times its usual; measures what each is served. */
export default async function playHotCustomer(options: HotCustomerOptions) {
  const { usualShare = 0.1, hotShare = 1 } = options;
  const usual = ['a', 'b', 'c', 'd', 'e'].map((name) => `customer-${name}`);
  const customers = [...usual, HOT].map((name) => ({
    name,
    keys: [name],
    tier: undefined,
    quota: undefined,
  }));
  const fleet = await createTestFleet({ ...options, configuration: { customers } });
  const engines = createTestEngines(fleet);
  const callers = createTestCallers({
    fleet,
    customers: [...usual, HOT],
    objectives: { chats: OBJECTIVE },
    isDeadlineKept: true,
    isSticky: options.isSticky,
  });
  await fleet.advance(START_TIME, 20);
  const capacity = fleet.servers.length * ENGINE_RATE;
  const begunAt = fleet.clock.now();
  [...usual, HOT].forEach((customer) =>
    callers.sendOften(capacity * (customer === HOT ? hotShare : usualShare), () => ({
      target: '/chat/1',
      customer,
    })),
  );
  await options.disturb?.(fleet, engines);
  await fleet.advance(begunAt + LOAD_TIME - fleet.clock.now());
  callers.stop();
  await fleet.advance(DEADLINE);

  function measure(isCounted: (customer: string) => boolean) {
    const own = callers.requests.filter(({ call }) => isCounted(call.customer!));
    const offered = own.filter(({ isFirst }) => isFirst).length;
    const served = own.filter(({ status, isBroken }) => status === 200 && isBroken !== true);
    const inTime = served.filter(
      ({ firstSentAt, answeredAt }) => answeredAt! - firstSentAt <= OBJECTIVE,
    );
    return { served: served.length / offered, inTime: inTime.length / offered };
  }

  return {
    callers,
    begunAt,
    usual: usual.map((name) => measure((customer) => customer === name)),
    hot: measure((customer) => customer === HOT),
    all: measure(() => true),
  };
}
