import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestEngines = ReturnType<typeof createTestEngines>;

/** Figures of the platform's rule EXPOSURE, and its bound `rollback-ms`. */
const EXPOSE_SHARE = 0.1;
const EXPOSE_SLACK = 50;
const BAD_ANSWERS = 50;
const ROLLBACK_TIME = 5_000;
/** Time after which a fleet that starts together is settled. */
const START_TIME = 12_000;
const CALM_TIME = 4_000;
const DURATION = 15_000;

interface RolloutCase {
  readonly name: string;
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly rate: number;
  readonly behaviour: {
    failShare: number;
    slowShare: number;
    slowness: number;
    isAffected?: (target: string, running: number) => boolean;
  };
  /** Time after the order from which on the version is bad. */
  readonly badAfter?: number;
  readonly disturb?: (fleet: TestFleet) => void;
}

const SMALL = { hosts: 9, domains: 3, serversPerDomain: 2, rate: 50 };
const LARGE = { hosts: 195, domains: 6, serversPerDomain: 8, rate: 300 };
const SLOW = { failShare: 0, slowShare: 0.5, slowness: 4 };
const FAILING = { failShare: 0.5, slowShare: 0, slowness: 1 };
const THREE = { ...SMALL, hosts: 3, domains: 1, serversPerDomain: 6 };
const SIXTEEN = { ...SMALL, hosts: 16, domains: 4, serversPerDomain: 4, rate: 100 };
const FAILING_UNDER_LOAD = {
  ...FAILING,
  isAffected: (_target: string, running: number) => running > 1,
};
/** One request in five has a tier of its own. */
const RARE_TIER_SHARE = 0.2;
const FAILING_FOR_TIER = {
  ...FAILING,
  isAffected: (target: string) => target.startsWith('/rare/'),
};
const ROUTES = [{}, { name: 'rare', pathPrefix: '/rare/', tier: 1 }];

const badCases: readonly RolloutCase[] = [
  { ...SMALL, name: 'slow, 3 hosts', hosts: 3, domains: 1, serversPerDomain: 6, behaviour: SLOW },
  { ...SMALL, name: 'slow, 9 hosts', behaviour: SLOW },
  { ...SMALL, name: 'slow after a while, 9 hosts', behaviour: SLOW, badAfter: 3_000 },
  { ...SMALL, name: 'failing, 9 hosts', behaviour: FAILING },
  { ...SMALL, name: 'failing after 60 %, 9 hosts', behaviour: FAILING, badAfter: 9_000 },
  { ...THREE, name: 'failing after 60 %, 3 hosts', behaviour: FAILING, badAfter: 9_000 },
  { ...THREE, name: 'slow after 60 %, 3 hosts', behaviour: SLOW, badAfter: 9_000 },
  { ...THREE, name: 'failing under load, 3 hosts', behaviour: FAILING_UNDER_LOAD },
  { ...SIXTEEN, name: 'failing under load, 16 hosts', behaviour: FAILING_UNDER_LOAD },
  { ...THREE, name: 'failing for one tier, 3 hosts', behaviour: FAILING_FOR_TIER },
  { ...SIXTEEN, name: 'failing for one tier, 16 hosts', behaviour: FAILING_FOR_TIER },
  { ...LARGE, name: 'slow, 195 hosts', behaviour: SLOW },
  { ...LARGE, name: 'failing, 195 hosts', behaviour: FAILING },
];

function listArrivals(
  engines: TestEngines,
  version: string | undefined,
  from: number,
  until: number,
) {
  return engines.arrivals.filter(
    ({ at, server }) =>
      at >= from && at < until && (version === undefined || server.startsWith(version)),
  );
}

async function play(rolloutCase: RolloutCase) {
  const fleet = await createTestFleet(rolloutCase);
  const engines = createTestEngines(fleet);
  const isRareTierCalled = rolloutCase.behaviour === FAILING_FOR_TIER;
  const callers = createTestCallers({ fleet, ...(isRareTierCalled && { routes: ROUTES }) });
  await fleet.advance(START_TIME, 20);
  callers.sendOften(rolloutCase.rate, () => ({
    promptParts: ['first'],
    target: isRareTierCalled && fleet.random.next() < RARE_TIER_SHARE ? '/rare/' : '/',
  }));
  await fleet.advance(CALM_TIME);
  const orderedAt = fleet.clock.now();
  const started = engines.startVersion('v2');
  fleet.setRollouts([
    {
      name: 'pool',
      pool: 'pool',
      version: 'v2',
      duration: DURATION,
      orderedAt: 1,
      state: undefined,
      objectVersion: 0,
    },
  ]);
  await fleet.advance(rolloutCase.badAfter ?? 0);
  started.forEach((engine) => engine.setBehaviour(rolloutCase.behaviour));
  await fleet.advance(DURATION - (rolloutCase.badAfter ?? 0));
  const deadline = fleet.clock.now();
  await fleet.advance(6_000);
  callers.stop();
  return { fleet, engines, callers, orderedAt, deadline };
}

describe('the roll-out of a version that answers worse', () => {
  badCases.forEach((rolloutCase) => {
    // Guards against moving requests to a version that answers several times slower, or fails.
    it(`exposes few requests to it and is rolled back: ${rolloutCase.name}`, async () => {
      const { fleet, engines, orderedAt, deadline } = await play(rolloutCase);
      const exposed = listArrivals(engines, 'v2', orderedAt, deadline).length;
      const all = listArrivals(engines, undefined, orderedAt, deadline).length;
      expect(exposed).toBeLessThanOrEqual(all * EXPOSE_SHARE + EXPOSE_SLACK);
      const bad = engines.badAnswers.filter((server) => server.startsWith('v2')).length;
      const late = listArrivals(engines, 'v2', deadline + ROLLBACK_TIME, Infinity).length;
      expect(bad < BAD_ANSWERS || late === 0).toEqual(true);
      expect(fleet.getRollouts().map(({ state }) => state)).toEqual(['rolledBack']);
    });
  });
});

describe('the roll-out of a version that answers as well', () => {
  [SMALL, LARGE].forEach((size) => {
    // Guards against taking back a version for answers that are no worse than the others'.
    it(`is not rolled back at ${size.hosts} hosts`, async () => {
      const { fleet, engines, orderedAt, deadline } = await play({
        ...size,
        name: '',
        behaviour: { failShare: 0, slowShare: 0, slowness: 1 },
      });
      expect(fleet.getRollouts().map(({ state }) => state)).toEqual(['complete']);
      expect(listArrivals(engines, 'v2', orderedAt, deadline).length).toBeGreaterThan(10);
    });
  });
});
