import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestDuties from '../testing/createTestDuties';

type TestDuties = Awaited<ReturnType<typeof createTestDuties>>;

/** Limits of a deployment: the part by which a count may be off, and when a report is due. */
const TOLERANCE = 0.05;
const DUE = 10_000;
const START = 25_000;
const FIRST_WINDOW = 1;

interface Case {
  /** The failure against which the case guards. */
  readonly name: string;
  readonly disturb: (duties: TestDuties) => Promise<void>;
  /** Reports that may be late, missing or off, and why. */
  readonly mayMiss?: number;
}

function isGood({ delay, error }: ReturnType<TestDuties['listResults']>[number]): boolean {
  return delay !== undefined && delay <= DUE && error <= TOLERANCE;
}

const CASES: readonly Case[] = [
  { name: 'reports every window in a calm fleet', disturb: (duties) => duties.advance(15_000) },
  {
    name: 'reports in time when the holder is killed and stays away',
    async disturb(duties) {
      duties.listHolders().forEach((host) => Object.assign(host, { isDown: true }));
      await duties.advance(15_000);
    },
  },
  {
    name: 'reports in time when the holder is paused for 4 s, and acts on no lost lease after it',
    async disturb(duties) {
      const holders = duties.listHolders();
      holders.forEach((host) => Object.assign(host, { isFrozen: true }));
      await duties.advance(4_000);
      holders.forEach((host) => Object.assign(host, { isFrozen: false }));
      await duties.advance(12_000);
    },
  },
  {
    name: 'reports in time when only the holder is cut off from the store',
    async disturb(duties) {
      duties.listHolders().forEach(({ name }) => duties.cutFromStore.add(name));
      await duties.advance(12_000);
      duties.cutFromStore.clear();
      await duties.advance(5_000);
    },
  },
  {
    name: 'reports in time when the store is down for 5 s',
    async disturb(duties) {
      duties.store.setDown(true);
      await duties.advance(5_000);
      duties.store.setDown(false);
      await duties.advance(10_000);
    },
  },
  {
    name: 'reports in time while the store is slow',
    async disturb(duties) {
      duties.store.setExtraDelay(300);
      await duties.advance(15_000);
      duties.store.setExtraDelay(0);
    },
  },
  {
    name: 'reports in time when responses of the store are lost',
    async disturb(duties) {
      duties.store.loseNextResponses(2);
      await duties.advance(15_000);
    },
  },
  {
    // Windows that ended before the holder learnt of the older copy may have been sent already.
    name: 'sends no second report when the store returns from an older copy',
    mayMiss: 2,
    async disturb(duties) {
      const copy = duties.store.takeCopy();
      await duties.advance(12_000);
      duties.store.returnFrom(copy);
      await duties.advance(15_000);
    },
  },
  {
    name: 'sends no second report when the store returns from a copy without a lease',
    mayMiss: 2,
    async disturb(duties) {
      await duties.advance(3_300);
      duties.store.returnFrom(new Map());
      await duties.advance(15_000);
    },
  },
  {
    name: 'repeats a report exactly when its response is lost',
    async disturb(duties) {
      duties.platform.loseNextResponses(3);
      await duties.advance(15_000);
    },
  },
  {
    // The reports that are due while the platform is down are late.
    name: 'keeps what is fixed while the platform is down, and sends the oldest first',
    mayMiss: 3,
    async disturb(duties) {
      duties.platform.setDown(true);
      await duties.advance(20_000);
      duties.platform.setDown(false);
      await duties.advance(15_000);
      const windows = duties.platform.arrived.flatMap(({ call }) =>
        call.kind === 'usage' ? [call.window] : [],
      );
      expect(windows).toEqual([...windows].sort((left, right) => left - right));
    },
  },
  ...[60_000, -60_000].map((step) => ({
    name: `reports the true windows when the holder's wall clock is stepped by ${step} ms`,
    async disturb(duties: TestDuties) {
      duties.listHolders().forEach((host) => Object.assign(host, { wallOffset: step }));
      await duties.advance(20_000);
    },
  })),
];

[
  { hosts: 3, domains: 3 },
  { hosts: 16, domains: 4 },
].forEach((size) => {
  describe(`usage of ${size.hosts} hosts in ${size.domains} failure domains`, () => {
    CASES.forEach(({ name, disturb, mayMiss = 0 }) => {
      it(name, async () => {
        const duties = await createTestDuties(size);
        await duties.advance(START);
        await disturb(duties);
        await duties.advance(DUE);
        const results = duties.listResults(FIRST_WINDOW);
        const bad = results.filter((result) => !isGood(result));
        expect(duties.platform.violations).toEqual([]);
        expect(bad.slice(mayMiss)).toEqual([]);
        expect(results.length).toBeGreaterThan(4);
      });
    });

    it('keeps what is fixed when a failure domain is cut off and its counts arrive late', async () => {
      const duties = await createTestDuties(size);
      await duties.advance(START);
      const [holder] = duties.listHolders();
      const { domain } = duties.fleet.hosts.find((host) => host.domain !== holder?.domain)!;
      duties.fleet.setReachable((from, to) => (from.domain === domain) === (to.domain === domain));
      await duties.advance(12_000);
      duties.fleet.setReachable(() => true);
      await duties.advance(20_000);
      const results = duties.listResults(FIRST_WINDOW);
      expect(duties.platform.violations).toEqual([]);
      expect(results.filter(({ delay }) => delay === undefined || delay > DUE)).toEqual([]);
      expect(results.slice(-2).every(isGood)).toEqual(true);
      expect(duties.listHolders()[0]?.core.duties?.getFigures().late ?? 0).toBeGreaterThan(0);
    });

    it('sends no second report when the store loses a record whose report was sent, its holder is killed and late counts arrive', async () => {
      const duties = await createTestDuties(size);
      await duties.advance(START);
      const [holder] = duties.listHolders();
      const { domain } = duties.fleet.hosts.find((host) => host.domain !== holder?.domain)!;
      const copy = duties.store.takeCopy();
      duties.fleet.setReachable((from, to) => (from.domain === domain) === (to.domain === domain));
      // The reports after 6 s are made without the counts of the domain that is cut off.
      await duties.advance(8_000);
      const { length } = duties.platform.arrived;
      while (duties.platform.arrived.length === length) {
        await duties.advance(10);
      }
      duties.fleet.setReachable(() => true);
      duties.store.returnFrom(copy);
      duties.listHolders().forEach((host) => Object.assign(host, { isDown: true }));
      await duties.advance(40_000);
      expect(duties.platform.violations).toEqual([]);
      expect(duties.listResults(FIRST_WINDOW).slice(-3).every(isGood)).toEqual(true);
    });

    it('reports in time again when all hosts restart, and no window that nobody counted', async () => {
      const duties = await createTestDuties(size);
      await duties.advance(START);
      duties.fleet.hosts.forEach((host) => Object.assign(host, { isDown: true }));
      await duties.advance(7_000);
      for (const index of duties.fleet.hosts.keys()) {
        await duties.fleet.restart(index);
      }
      await duties.advance(25_000);
      const results = duties.listResults(FIRST_WINDOW);
      expect(duties.platform.violations).toEqual([]);
      // The hosts ran until the end of window 4 and again from 2 s after the start of window 6.
      expect(results.filter(({ window }) => window === 5).map(({ delay }) => delay)).toEqual([
        undefined,
      ]);
      expect(results.filter((result) => result.window > 5 && !isGood(result))).toEqual([]);
    });
  });
});

interface KillCase {
  /** Which third of the 16 hosts is killed; those of one failure domain are four apart. */
  readonly name: string;
  readonly killed: readonly number[];
}

const KILLS: readonly KillCase[] = [
  { name: 'a whole failure domain and one more', killed: [0, 4, 8, 12, 1] },
  { name: 'hosts of all failure domains that schedule no others', killed: [11, 12, 13, 14, 15] },
  { name: 'the first hosts of all failure domains', killed: [0, 1, 2, 3, 4] },
];
/** Times from the start of a window to the kill: what is lost weighs most early in a window. */
const KILL_TIMES = [500, 2_000, 3_500, 4_900];
const SEEDS = [3, 5];

describe('usage of 16 hosts at 200 requests a second', () => {
  KILLS.forEach(({ name, killed }) => {
    // Guards against losing what hosts counted between their last message and their kill.
    it(`is off by no more than the tolerance when a third is killed at once: ${name}`, async () => {
      for (const seed of SEEDS) {
        for (const time of KILL_TIMES) {
          const duties = await createTestDuties({
            hosts: 16,
            domains: 4,
            ratePerHost: 12.5,
            serviceTime: 50,
            serversPerDomain: 4,
            seed,
          });
          await duties.advance(START + time);
          killed.forEach((index) => Object.assign(duties.fleet.hosts[index]!, { isDown: true }));
          await duties.advance(25_000);
          const bad = duties.listResults(FIRST_WINDOW).filter((result) => !isGood(result));
          expect({ seed, time, bad }).toEqual({ seed, time, bad: [] });
          expect(duties.platform.violations).toEqual([]);
        }
      }
    });
  });
});
