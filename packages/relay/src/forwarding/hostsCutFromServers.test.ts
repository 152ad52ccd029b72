import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';
import type { EngineCut, TestCall, TestHost } from '../testing/types';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;

/** The platform's `stable-window-ms`, and the figures of its rule RECOVER. */
const STABLE_WINDOW = 3_000;
const RULE_SHARE = 2 / 3;
const RULE_FAILURES = 10;
const RULE_FAILURE_SHARE = 1 / 50;
const START_TIME = 12_000;
const CALM_TIME = 4_000;
const CUT_TIME = 10_000;
const SESSIONS = 40;

interface CutCase {
  readonly name: string;
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly rate: number;
  readonly how: EngineCut;
  readonly isCut: (host: TestHost, index: number) => boolean;
  /** Disturbs the fleet while the hosts are cut off. */
  readonly disturb?: (fleet: TestFleet) => Promise<void>;
  /** How often the hosts are cut off. */
  readonly times?: number;
}

const SMALL = { hosts: 9, domains: 3, serversPerDomain: 3, rate: 50 };
const LARGE = { hosts: 195, domains: 6, serversPerDomain: 11, rate: 250 };
const MODES: readonly EngineCut[] = ['hang', 'reset', 'refuseNew'];

const cases: readonly CutCase[] = [
  ...MODES.flatMap((how): CutCase[] => [
    {
      ...SMALL,
      name: `3 hosts, one is cut off, ${how}`,
      hosts: 3,
      domains: 1,
      serversPerDomain: 6,
      how,
      isCut: (_, index) => index === 1,
    },
    { ...SMALL, name: `9 hosts, six are cut off, ${how}`, how, isCut: (_, index) => index % 3 > 0 },
    {
      ...SMALL,
      name: `9 hosts, a failure domain is cut off, ${how}`,
      how,
      isCut: ({ domain }) => domain === 'domain-1',
    },
    {
      ...SMALL,
      name: `9 hosts, two are cut off again and again, ${how}`,
      how,
      times: 3,
      isCut: (_, index) => index < 2,
    },
    {
      ...LARGE,
      name: `195 hosts, a failure domain is cut off, ${how}`,
      how,
      isCut: ({ domain }) => domain === 'domain-1',
    },
    {
      ...LARGE,
      name: `195 hosts, most are cut off, ${how}`,
      how,
      isCut: (_, index) => index % 3 > 0,
    },
  ]),
  {
    ...SMALL,
    name: '9 hosts, some restart while they are cut off',
    how: 'hang',
    isCut: ({ domain }) => domain !== 'domain-2',
    async disturb(fleet) {
      await fleet.advance(3_000);
      await fleet.restart(0);
      await fleet.restart(1);
    },
  },
];

const CALLS: readonly ((session: string) => TestCall)[] = [
  (session) => ({ promptParts: ['first', session] }),
  (session) => ({ target: '/lookup/1', body: session, customer: 'customer-a' }),
  () => ({ target: '/order/1', customer: 'customer-a' }),
];

/** Plays a case: calm time, then cuts with calm time after each. */
async function play(cutCase: CutCase) {
  const fleet = await createTestFleet(cutCase);
  const { clock, random } = fleet;
  const engines = createTestEngines(fleet);
  const callers = createTestCallers({ fleet });
  await fleet.advance(START_TIME, 20);
  callers.sendOften(cutCase.rate, () =>
    CALLS[random.integer(0, CALLS.length - 1)]!(`session${random.integer(0, SESSIONS - 1)}`),
  );
  const cuts: { readonly from: number; readonly until: number }[] = [];
  const wasCut = new Set<TestHost>();
  for (let time = 0; time < (cutCase.times ?? 1); time += 1) {
    await fleet.advance(CALM_TIME);
    const from = clock.now();
    const hosts = fleet.hosts.filter(cutCase.isCut);
    hosts.forEach((host) => wasCut.add(host));
    engines.cut(hosts, cutCase.how);
    await cutCase.disturb?.(fleet);
    const restarted = fleet.hosts.filter(cutCase.isCut);
    restarted.forEach((host) => wasCut.add(host));
    engines.cut(restarted, cutCase.how);
    await fleet.advance(from + CUT_TIME - clock.now());
    cuts.push({ from, until: clock.now() });
    engines.cut([...wasCut], undefined);
  }
  await fleet.advance(CALM_TIME);
  callers.stop();
  await fleet.advance(4_000);

  /** Counts first calls of a time at the hosts that were cut off, or at the others. */
  function countFirst(isAtCut: boolean, from: number, until: number) {
    const sent = callers.requests.filter(
      ({ isFirst, sentAt, host }) =>
        isFirst && sentAt >= from && sentAt < until && wasCut.has(host) === isAtCut,
    );
    const served = sent.filter(({ status, isBroken }) => status === 200 && isBroken !== true);
    return { sent: sent.length, served: served.length };
  }

  return { fleet, engines, callers, cuts, countFirst };
}

type Played = Awaited<ReturnType<typeof play>>;

describe('hosts that are cut off from all servers', () => {
  cases.forEach((cutCase) => {
    let day: Promise<Played> | undefined;
    const playOnce = (): Promise<Played> => {
      day ??= play(cutCase);
      return day;
    };

    // Guards against refusing callers whose host has lost its links to the servers.
    it(`serve their callers like the others do: ${cutCase.name}`, async () => {
      const { cuts, countFirst } = await playOnce();
      cuts.forEach(({ from, until }) => {
        const atCut = countFirst(true, from + STABLE_WINDOW, until - 500);
        const atOthers = countFirst(false, from + STABLE_WINDOW, until - 500);
        const allowed = RULE_FAILURES + atCut.sent * RULE_FAILURE_SHARE;
        const isWithinAllowance = atCut.sent - atCut.served <= allowed;
        const share = (atCut.served / atCut.sent) * (atOthers.sent / atOthers.served);
        expect(isWithinAllowance ? 1 : share).toBeGreaterThanOrEqual(RULE_SHARE);
      });
    });

    // Guards against dispatching a request at two hosts, or more often than its route allows.
    it(`send each request no more often than they may: ${cutCase.name}`, async () => {
      const { engines } = await playOnce();
      const arrivals = new Map<string, number>();
      engines.arrivals.forEach(({ id }) => arrivals.set(id, (arrivals.get(id) ?? 0) + 1));
      const orders = new Set(
        engines.arrivals
          .filter(({ call }) => call.target.startsWith('/order/'))
          .map(({ id }) => id),
      );
      const tooOften = [...arrivals].filter(([id, count]) => count > (orders.has(id) ? 1 : 2));
      expect(tooOften).toEqual([]);
    });

    // Guards against taking the servers that a host cannot reach for servers that have ended.
    it(`quarantine no request: ${cutCase.name}`, async () => {
      const { fleet } = await playOnce();
      const quarantined = fleet.hosts.filter(({ core }) => core.crashGuard.countQuarantined() > 0);
      expect(quarantined.length).toEqual(0);
    });

    // Guards against serving worse, or not at all, once the links are back.
    it(`serve their callers once the links are back: ${cutCase.name}`, async () => {
      const { cuts, countFirst } = await playOnce();
      const { until } = cuts.at(-1)!;
      const { sent, served } = countFirst(true, until + 1_000, until + CALM_TIME - 500);
      expect(served / sent).toBeGreaterThanOrEqual(0.9);
    });
  });
});
