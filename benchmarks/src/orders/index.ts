import type { BenchmarkArguments } from '../types';
import simulateOrders from './simulateOrders';
import tallyOrders from './tallyOrders';
import type { KeyKind, OrderTally, SimulationOptions, SimulationResult } from './types';

const ORDERS = 12_000;
const QUICK_ORDERS = 1_200;
const ORDERS_PER_SECOND = 40;
const FACTOR_DIGITS = 2;
const KEY_KINDS: readonly KeyKind[] = ['none', 'ticket', 'callerKey'];

interface ScenarioReport extends Omit<SimulationResult, 'histories' | 'getBookings'> {
  readonly all: OrderTally;
  /** Orders first submitted while the store was available, and while it was down. */
  readonly storeWell: OrderTally;
  readonly storeDown: OrderTally;
  readonly byKey: Readonly<Record<KeyKind, OrderTally>>;
  readonly storeWritesPerKeyedOrder: number;
}

async function runScenario(options: SimulationOptions): Promise<ScenarioReport> {
  const result = await simulateOrders(options);
  const { histories, getBookings, ...rest } = result;
  const tallyWhere = (condition: (each: (typeof histories)[number]) => boolean) =>
    tallyOrders({ ...result, getBookings }, histories.filter(condition));
  const keyed = histories.filter(({ keyKind }) => keyKind === 'callerKey').length;
  const byKey = KEY_KINDS.map((kind) => [kind, tallyWhere((each) => each.keyKind === kind)]);
  return {
    ...rest,
    all: tallyWhere(() => true),
    storeWell: tallyWhere((each) => !each.wasStoreDown),
    storeDown: tallyWhere((each) => each.wasStoreDown),
    byKey: Object.fromEntries(byKey) as Record<KeyKind, OrderTally>,
    storeWritesPerKeyedOrder: Number((rest.storeWrites / keyed).toFixed(FACTOR_DIGITS)),
  };
}

/**
 * Runs orders through the real order executors over an in-memory store, in virtual time:
 * undisturbed, under ends and pauses of hosts, under store outages, and under all of these.
 */
export default async function run(options: BenchmarkArguments): Promise<unknown> {
  const commonOptions = {
    seed: options.seed,
    orders: options.quick ? QUICK_ORDERS : ORDERS,
    ordersPerSecond: ORDERS_PER_SECOND,
  };
  const disturbed = { ...commonOptions, endInterval: 5_000, pauseInterval: 4_000 };
  const started = performance.now();
  const undisturbed = await runScenario({ ...commonOptions, store: 'well' });
  const deathsAndPauses = await runScenario({ ...disturbed, store: 'well' });
  const outagesOnly = await runScenario({ ...commonOptions, store: 'outages' });
  const storeOutages = await runScenario({ ...disturbed, store: 'outages' });
  const scenarios = [undisturbed, deathsAndPauses, outagesOnly, storeOutages];

  function total(count: (tally: OrderTally) => number): number {
    return scenarios.reduce((sum, { all }) => sum + count(all), 0);
  }

  return {
    seed: options.seed,
    orders: total((tally) => tally.orders),
    bookedTwice: total((tally) => tally.bookedTwice),
    falseNotRun: total((tally) => tally.falseNotRun),
    lost: total((tally) => tally.lost),
    differingAnswers: total((tally) => tally.differingAnswers),
    storeWell: deathsAndPauses.all,
    storeDown: storeOutages.storeDown,
    scenarios: { undisturbed, deathsAndPauses, outagesOnly, storeOutages },
    seconds: Math.round((performance.now() - started) / 1_000),
  };
}
