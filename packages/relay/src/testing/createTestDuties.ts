import type { Clock, Milliseconds } from '@rattanreel/core';
import type { DutyOptions, DutySettings, UsageCounts } from '../duties/types';
import type { RelayConfiguration } from '../types';
import createTestDutyPlatform from './createTestDutyPlatform';
import createTestDutyStore from './createTestDutyStore';
import createTestFleet from './createTestFleet';
import type { TestHost } from './types';

const SETTINGS: DutySettings = {
  duties: ['usage'],
  callsPerSecond: 50,
  leaseDuration: 3_000,
  reportWindow: 5_000,
  reportDelay: 10_000,
};
const CUSTOMER_COUNT = 3;
const STEP: Milliseconds = 10;
/** Deadline of the requests that ask for slots. */
const DEADLINE: Milliseconds = 4_000;

interface TestDutiesOptions {
  readonly hosts: number;
  readonly domains: number;
  /** Requests per second that begin to run at each host. */
  readonly ratePerHost?: number;
  /**
   * Time for which each request holds a slot that its host asks for; absent if requests begin
   * without one.
   */
  readonly serviceTime?: Milliseconds;
  readonly serversPerDomain?: number;
  /** Number of customers, which send equally much. */
  readonly customers?: number;
  readonly settings?: Partial<DutySettings>;
  readonly configuration?: Partial<RelayConfiguration>;
  readonly seed?: number;
}

interface WindowResult {
  readonly window: number;
  /** Time from the end of the window to the first report; undefined if there was none. */
  readonly delay: Milliseconds | undefined;
  /** Largest difference of a customer's count from the true one, as a share of it. */
  readonly error: number;
  readonly total: number;
}

/** Runs a fleet with duties in virtual time, and counts what its reports should contain. */
export default async function createTestDuties(options: TestDutiesOptions) {
  const settings = { ...SETTINGS, ...options.settings };
  const ratePerHost = options.ratePerHost ?? 60;
  const store = createTestDutyStore();
  const trueCounts = new Map<number, Map<string, number>>();
  let platform: ReturnType<typeof createTestDutyPlatform> | undefined;
  const cutFromStore = new Set<string>();
  let askedSlots = 0;

  function createOptions(
    clock: Clock,
    hostClock: Clock,
    getHost: () => TestHost | undefined,
  ): DutyOptions {
    platform ??= createTestDutyPlatform({ clock, leaseTime: settings.leaseDuration });
    return {
      settings,
      store: store.createClient(hostClock, () => !cutFromStore.has(getHost()?.name ?? '')),
      calls: platform.createCalls(hostClock),
      getEra: store.getEra,
    };
  }

  const fleet = await createTestFleet({
    hosts: options.hosts,
    domains: options.domains,
    serversPerDomain: options.serversPerDomain ?? 1,
    seed: options.seed,
    configuration: options.configuration ?? {},
    createDuties: createOptions,
  });
  const { clock, random } = fleet;

  function countBegun(host: TestHost, customer: string): void {
    const window = Math.floor(clock.now() / settings.reportWindow);
    const counts = trueCounts.get(window) ?? new Map<string, number>();
    trueCounts.set(window, counts);
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
    host.core.duties?.recordBegun(customer);
  }

  /** Lets a host ask for a slot for a request, which begins to run once it is granted. */
  function askForSlot(host: TestHost, customer: string, serviceTime: Milliseconds): void {
    const now = clock.now();
    askedSlots += 1;
    host.core.admission.requestSlot({
      requestId: `${host.name}-${askedSlots}`,
      pool: 'pool',
      customer,
      cost: 0,
      priority: {
        rank: 0,
        floorRank: 0,
        isReturning: false,
        tier: 0,
        serveBy: now + DEADLINE,
        deadlineAt: now + DEADLINE,
      },
      outputTokens: 1,
      excludedServers: new Set(),
      onGranted(grant) {
        countBegun(host, customer);
        clock.after(serviceTime, () => {
          if (!host.isDown) {
            grant.complete({
              end: { kind: 'whole', status: 200 },
              duration: serviceTime,
              firstDataAfter: serviceTime,
              laterChunks: 0,
              laterTime: 0,
              outputTokens: 1,
            });
          }
        });
      },
      onRefused: () => undefined,
    });
  }

  function begin(host: TestHost): void {
    const customer = `customer-${random.integer(1, options.customers ?? CUSTOMER_COUNT)}`;
    if (options.serviceTime === undefined) {
      countBegun(host, customer);
    } else {
      askForSlot(host, customer, options.serviceTime);
    }
  }

  function scheduleNext(index: number): void {
    clock.after((-Math.log(1 - random.next()) * 1_000) / ratePerHost, () => {
      const host = fleet.hosts[index]!;
      if (!host.isDown && !host.isFrozen) {
        begin(host);
      }
      scheduleNext(index);
    });
  }

  fleet.hosts.forEach((_, index) => scheduleNext(index));

  function getError(window: number, counts: UsageCounts): number {
    const expected = trueCounts.get(window) ?? new Map<string, number>();
    const customers = new Set([...expected.keys(), ...Object.keys(counts)]);
    const errors = [...customers].map((customer) => {
      const count = expected.get(customer) ?? 0;
      return Math.abs((counts[customer] ?? 0) - count) / Math.max(count, 1);
    });
    return Math.max(0, ...errors);
  }

  return {
    fleet,
    store,
    platform: platform!,
    cutFromStore,
    advance: (span: Milliseconds) => fleet.advance(span, STEP),
    listHolders: (): readonly TestHost[] =>
      fleet.hosts.filter(
        ({ core, isDown }) => !isDown && core.duties?.getFigures().isHolder === true,
      ),
    /** Lists the windows from `first` that are due by now, with what was reported. */
    listResults(first: number): readonly WindowResult[] {
      const { reportWindow, reportDelay } = settings;
      const end = Math.floor((clock.now() - reportDelay) / reportWindow);
      return Array.from({ length: Math.max(0, end - first) }, (_, index) => {
        const window = first + index;
        const report = platform!.arrived.find(
          ({ call }) => call.kind === 'usage' && call.window === window,
        );
        const total = [...(trueCounts.get(window)?.values() ?? [])].reduce((sum, n) => sum + n, 0);
        return report?.call.kind === 'usage'
          ? {
              window,
              delay: report.at - (window + 1) * reportWindow,
              error: getError(window, report.call.counts),
              total,
            }
          : { window, delay: undefined, error: 1, total };
      });
    },
  };
}
