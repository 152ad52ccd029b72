import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestEngines = ReturnType<typeof createTestEngines>;

/** The platform's `stable-window-ms`, and the figures of its rule LIMIT. */
const STABLE_WINDOW = 3_000;
const RULE_FALLS = 2;
const RULE_FALL_SHARE = 1 / 10;
/** Time after which a fleet that starts together is settled. */
const START_TIME = 12_000;
const CALM_TIME = 2_000;
const BRITTLE_TIME = 14_000;
/** Part of the calls that is served at least, of what the same load is served without brittleness. */
const MINIMUM_SHARE = 0.6;

interface BrittleCase {
  readonly name: string;
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly rate: number;
  readonly turnAways: number;
  /** Requests that wait at an engine once it is brittle. */
  readonly waiting: number;
  readonly disturb?: (engines: TestEngines, fleet: TestFleet) => Promise<void>;
}

/** Loads of about 0.5, 1 and 2 times what the engines can carry. */
const SMALL = { hosts: 9, domains: 3, serversPerDomain: 2, turnAways: 1, waiting: 0 };
const LARGE = { hosts: 195, domains: 6, serversPerDomain: 11, turnAways: 1, waiting: 0 };

async function crashAll(engines: TestEngines, fleet: TestFleet): Promise<void> {
  await fleet.advance(4_000);
  engines.crashAtRandom();
  engines.crashAtRandom();
}

const cases: readonly BrittleCase[] = [
  { ...SMALL, name: '3 hosts', hosts: 3, domains: 1, serversPerDomain: 3, rate: 60 },
  { ...SMALL, name: '9 hosts, light load', rate: 55 },
  { ...SMALL, name: '9 hosts, full load', rate: 110 },
  { ...SMALL, name: '9 hosts, overload', rate: 220 },
  { ...SMALL, name: '9 hosts, some waiting room', rate: 220, waiting: 2, turnAways: 3 },
  { ...SMALL, name: '9 hosts, engines come back in a burst', rate: 160, disturb: crashAll },
  { ...LARGE, name: '195 hosts, full load', rate: 1_100 },
];

async function play(brittleCase: BrittleCase, turnAways: number | undefined) {
  const fleet = await createTestFleet(brittleCase);
  const engines = createTestEngines(fleet);
  const callers = createTestCallers({ fleet });
  await fleet.advance(START_TIME, 20);
  callers.sendOften(brittleCase.rate, () => ({
    target: '/lookup/1',
    customer: 'customer-a',
  }));
  await fleet.advance(CALM_TIME);
  engines.engines.forEach((engine) => engine.room.setBrittle(turnAways));
  const begunAt = fleet.clock.now();
  await fleet.advance(STABLE_WINDOW);
  engines.engines.forEach((engine) => engine.room.setMaximumWaiting(brittleCase.waiting));
  await brittleCase.disturb?.(engines, fleet);
  await fleet.advance(begunAt + BRITTLE_TIME - fleet.clock.now());
  callers.stop();
  await fleet.advance(3_000);
  const sent = callers.requests.filter(({ sentAt }) => sentAt > begunAt + STABLE_WINDOW);
  const served = sent.filter(({ status }) => status === 200).length;
  return { falls: engines.falls.length, servers: engines.engines.length, served };
}

describe('servers that fall over when they turn away too many requests', () => {
  cases.forEach((brittleCase) => {
    // Guards against sending servers more than they have room for, from hosts that do not know of each other.
    it(`stay up, and serve what they can: ${brittleCase.name}`, async () => {
      const { falls, servers, served } = await play(brittleCase, brittleCase.turnAways);
      expect(falls).toBeLessThanOrEqual(RULE_FALLS + servers * RULE_FALL_SHARE);
      const sound = await play(brittleCase, undefined);
      expect(served).toBeGreaterThanOrEqual(sound.served * MINIMUM_SHARE);
    });
  });
});
