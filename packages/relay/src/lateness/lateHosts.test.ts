import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';
import disturbances from '../testing/disturbances';
import type { TestHost } from '../testing/types';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;

/** The rules: what a request may be late at a server, and an answer beyond its host's delay. */
const SERVER_GRACE = 500;
const ANSWER_GRACE = 500;
const START_TIME = 12_000;
const LATE_TIME = 10_000;
/** Time in which a blocked host runs between two delays. */
const RUN_TIME = 20;
const TIMEOUT = 4_000;
/** Callers without a deadline wait until they are answered. */
const DEADLINES = [600, 1_200, 2_500, undefined];
const TARGETS = ['/', '/lookup/a', '/order/a'];

interface Case {
  readonly hosts: number;
  readonly delay: number;
}

const cases: readonly Case[] = [2, 16].flatMap((hosts) =>
  [300, 1_000, 2_000].map((delay) => ({ hosts, delay })),
);

function listLate(fleet: TestFleet): readonly TestHost[] {
  return fleet.hosts.filter((_, index) => index % 2 === 0);
}

/** Blocks the event loops of every second host in bursts, which begin at different times. */
function blockInBursts(fleet: TestFleet, delay: number, until: number): void {
  const block = (host: TestHost): void => {
    if (fleet.clock.now() < until) {
      host.loop.block(delay);
      fleet.clock.after(delay + RUN_TIME, () => block(host));
    }
  };
  listLate(fleet).forEach((host) =>
    fleet.clock.after(fleet.random.next() * delay, () => block(host)),
  );
}

describe('hosts with high event loop delay', () => {
  cases.forEach(({ hosts, delay }) => {
    // Guards against sending requests after their deadline, and against late final answers.
    it(`send nothing late and answer in time: ${hosts} hosts, ${delay} ms`, async () => {
      const fleet = await createTestFleet({ hosts, domains: 2, serversPerDomain: 4 });
      const engines = createTestEngines(fleet);
      await fleet.advance(START_TIME, 20);
      const callers = createTestCallers({ fleet });
      const { random, clock } = fleet;
      const pick = <Value>(values: readonly Value[]): Value =>
        values[random.integer(0, values.length - 1)]!;
      callers.sendOften(100, () => ({
        target: pick(TARGETS),
        customer: 'customer-a',
        deadline: pick(DEADLINES),
        isLeftOpen: random.next() < 0.5,
      }));
      blockInBursts(fleet, delay, clock.now() + LATE_TIME);
      await fleet.advance(LATE_TIME);
      callers.stop();
      await fleet.advance(6_000);

      const arrivedAt = new Map(engines.arrivals.map(({ id, at }) => [id, at]));
      const sentLate = callers.requests.filter(({ sentAt, call }, index) => {
        const at = arrivedAt.get(`request-${index + 1}`) ?? -Infinity;
        return at > sentAt + (call.deadline ?? TIMEOUT) + SERVER_GRACE;
      });
      expect(sentLate.length).toEqual(0);
      const unanswered = callers.requests.filter(
        ({ sentAt, answeredAt = Infinity, goneAt }) =>
          goneAt === undefined && answeredAt > sentAt + TIMEOUT + delay + ANSWER_GRACE,
      );
      expect(unanswered.length).toEqual(0);
      const served = callers.requests.filter(({ status }) => status === 200);
      expect(served.length / callers.requests.length).toBeGreaterThanOrEqual(0.25);
      const leaked = fleet.hosts.flatMap(({ core }) => [...core.pools.countOwnInFlight()]);
      expect(leaked).toEqual([]);
      expect(fleet.hosts.map(({ loopDelay }) => loopDelay.get())).toEqual(fleet.hosts.map(() => 0));
    });
  });

  // Guards against a late host that grants the slots of others although punctual ones could.
  it('are not chosen as schedulers while others are punctual', async () => {
    const fleet = await createTestFleet({ hosts: 16, domains: 2, serversPerDomain: 4 });
    createTestEngines(fleet);
    await fleet.advance(START_TIME, 20);
    const late = disturbances.listSchedulers(fleet);
    expect(late.length).toEqual(2);
    const until = fleet.clock.now() + LATE_TIME;
    const block = (host: TestHost): void => {
      if (fleet.clock.now() < until) {
        host.loop.block(300);
        fleet.clock.after(300 + RUN_TIME, () => block(host));
      }
    };
    late.forEach(block);
    await fleet.advance(LATE_TIME);
    const schedulers = disturbances.listSchedulers(fleet);
    expect(schedulers.filter((host) => late.includes(host)).length).toEqual(0);
    expect(schedulers.length).toEqual(2);
  });
});
