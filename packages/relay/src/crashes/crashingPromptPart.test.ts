import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';
import disturbances from '../testing/disturbances';
import playCrashDay from '../testing/playCrashDay';
import type { SeenCall } from '../testing/types';

type CrashDayOptions = Parameters<typeof playCrashDay>[0];
type CrashDay = Awaited<ReturnType<typeof playCrashDay>>;

const { cutOff, freeze, listSchedulers, restart } = disturbances;

/** Time after which a fleet that starts together is settled. */
const START_TIME = 12_000;
const SESSIONS = 40;
/** Figures of the platform's rules BUDGET and LOST. */
const RULE_CRASHES = 5;
const RULE_REQUESTS = 3;
const RULE_SOUND_SHARE = 0.5;

interface PromptCase extends Omit<CrashDayOptions, 'crashing'> {
  readonly name: string;
  /** Prompts with a crashing part, by that part; sessions are those of sound requests. */
  readonly prompts: Readonly<Record<string, (session: string) => readonly string[]>>;
}

const MIDDLE = { bad1: (session: string) => ['first', 'bad1', session] };
const SMALL = { hosts: 9, domains: 3, serversPerDomain: 2, soundRate: 30, crashingRate: 5 };
const LARGE = { hosts: 195, domains: 6, serversPerDomain: 11, soundRate: 250, crashingRate: 10 };

const cases: readonly PromptCase[] = [
  { ...SMALL, name: '3 hosts', hosts: 3, domains: 1, serversPerDomain: 5, prompts: MIDDLE },
  { ...SMALL, name: '9 hosts', prompts: MIDDLE },
  {
    ...SMALL,
    name: '9 hosts, the part comes first',
    prompts: { bad1: (session) => ['bad1', session] },
  },
  {
    ...SMALL,
    name: '9 hosts, the part comes last but one',
    prompts: { bad1: (session) => ['first', session, 'bad1'] },
  },
  {
    ...SMALL,
    name: '9 hosts, two parts at once',
    prompts: { ...MIDDLE, bad2: (session) => ['first', session, 'bad2'] },
  },
  { ...SMALL, name: '9 hosts, seldom', crashingRate: 0.8, prompts: MIDDLE },
  {
    ...SMALL,
    name: '9 hosts, some of which restart',
    prompts: MIDDLE,
    disturb: (fleet) => restart(fleet, 4_000, [0, 4]),
  },
  {
    ...SMALL,
    name: '9 hosts, all of which are killed at once',
    crashingRate: 1.5,
    prompts: MIDDLE,
    disturb: (fleet) => restart(fleet, 8_000, [...fleet.hosts.keys()]),
  },
  {
    ...SMALL,
    name: '9 hosts, some of which freeze',
    prompts: MIDDLE,
    disturb: (fleet) => freeze(fleet, fleet.hosts.slice(0, 3)),
  },
  {
    ...SMALL,
    name: '9 hosts, a failure domain of which is cut off',
    prompts: MIDDLE,
    disturb: (fleet) =>
      cutOff(
        fleet,
        fleet.hosts.filter(({ domain }) => domain === 'domain-0'),
      ),
  },
  { ...LARGE, name: '195 hosts', prompts: MIDDLE },
  {
    ...LARGE,
    name: '195 hosts, three parts at once',
    prompts: {
      ...MIDDLE,
      bad2: (session) => ['bad2', session],
      bad3: (session) => ['first', session, 'bad3'],
    },
  },
  {
    ...LARGE,
    name: '195 hosts, the schedulers of which freeze',
    prompts: MIDDLE,
    disturb: (fleet) => freeze(fleet, listSchedulers(fleet)),
  },
  {
    ...LARGE,
    name: '195 hosts, some of which serve alone',
    prompts: MIDDLE,
    disturb: (fleet) =>
      cutOff(
        fleet,
        listSchedulers(fleet).filter(({ domain }) => domain < 'domain-3'),
      ),
  },
];

function toCrashDayOptions(promptCase: PromptCase): CrashDayOptions {
  const crashing = Object.entries(promptCase.prompts).map(([part, createPrompt]) => [
    part,
    {
      createCall: (session: string) => ({ promptParts: createPrompt(session) }),
      isCrashing: ({ promptParts }: SeenCall) => promptParts.includes(part),
    },
  ]);
  return { ...promptCase, crashing: Object.fromEntries(crashing) };
}

describe('requests with a part in their prompts that ends each server', () => {
  cases.forEach((crashCase) => {
    let day: Promise<CrashDay> | undefined;
    const playOnce = (): Promise<CrashDay> => {
      day ??= playCrashDay(toCrashDayOptions(crashCase));
      return day;
    };

    // Guards against sending requests on to servers under whose part servers end again and again.
    it(`reach no server once five have ended under them: ${crashCase.name}`, async () => {
      const played = await playOnce();
      Object.keys(crashCase.prompts).forEach((part) =>
        expect(played.countLateArrivals(part, RULE_CRASHES)).toBeLessThanOrEqual(RULE_REQUESTS),
      );
    });

    // Guards against refusing, with the crashing part, the callers and the parts beside it.
    it(`leave the sound requests beside them served: ${crashCase.name}`, async () => {
      const played = await playOnce();
      const { before, after } = played.getSoundShares(RULE_CRASHES);
      expect(after).toBeGreaterThanOrEqual(before * RULE_SOUND_SHARE);
      const parts = Object.keys(crashCase.prompts);
      expect(played.listQuarantined().filter((part) => !parts.includes(part))).toEqual([]);
    });
  });
});

interface SoundCase {
  readonly name: string;
  readonly disturb: (engines: ReturnType<typeof createTestEngines>) => void;
}

const soundCases: readonly SoundCase[] = [
  {
    name: 'several servers end at the same moment',
    disturb(engines) {
      Array.from({ length: 3 }, () => engines.crashAtRandom());
    },
  },
  {
    name: 'servers end one after the other for reasons of their own',
    disturb: (engines) => engines.crashAtRandom(),
  },
  {
    name: 'all connections are reset',
    disturb: (engines) => engines.resetConnections(),
  },
];

describe('sound requests', () => {
  soundCases.forEach(({ name, disturb }) => {
    // Guards against refusing prompts whose servers end for other reasons.
    it(`are not quarantined when ${name}`, async () => {
      const fleet = await createTestFleet({ ...SMALL, serversPerDomain: 4 });
      const engines = createTestEngines(fleet);
      const callers = createTestCallers({ fleet });
      await fleet.advance(START_TIME, 20);
      callers.sendOften(60, () => ({
        promptParts: ['first', `session${fleet.random.integer(0, SESSIONS - 1)}`],
      }));
      for (let round = 0; round < 12; round += 1) {
        await fleet.advance(1_300);
        disturb(engines);
      }
      await fleet.advance(3_000);
      callers.stop();
      const quarantined = fleet.hosts.map(({ core }) => core.crashGuard.countQuarantined());
      expect(quarantined.filter((count) => count > 0)).toEqual([]);
    });
  });
});

describe('the reports on prompts in a large fleet', () => {
  // Guards against messages that grow with the fleet, or without end while servers end.
  it('stay bounded at each host while servers end', async () => {
    const measure = async (isCrashing: boolean): Promise<{ most: number; mostBytes: number }> => {
      const fleet = await createTestFleet(LARGE);
      const engines = createTestEngines(fleet);
      const callers = createTestCallers({ fleet });
      await fleet.advance(START_TIME, 20);
      callers.sendOften(LARGE.soundRate, () => ({ promptParts: ['first', 'session'] }));
      if (isCrashing) {
        engines.crashing.set('bad1', ({ promptParts }) => promptParts.includes('bad1'));
        callers.sendOften(LARGE.crashingRate, () => ({ promptParts: ['first', 'bad1'] }));
      }
      fleet.resetTraffic();
      await fleet.advance(6_000);
      callers.stop();
      const traffic = fleet.hosts.map((host) => host.traffic);
      return {
        most: Math.max(...traffic.map(({ messages }) => messages)) / 6,
        mostBytes: Math.max(...traffic.map(({ bytes }) => bytes)) / 6,
      };
    };
    const calm = await measure(false);
    const crashing = await measure(true);
    // A scheduler of 33 hosts repeats its report to each every second, and sends changes for some.
    expect(crashing.most - calm.most).toBeLessThanOrEqual(300);
    // The slowest link of the large deployment carries 1.75 MB a second.
    expect(crashing.mostBytes - calm.mostBytes).toBeLessThanOrEqual(400_000);
  });
});
