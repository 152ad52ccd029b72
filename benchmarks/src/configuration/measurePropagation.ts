import { encode } from '@msgpack/msgpack';
import type { DeploymentSettings } from '@rattanreel/configuration';
import createDeployment from './createDeployment';
import createSettings from './createSettings';
import type {
  Deployment,
  DeploymentSize,
  PropagationResult,
  Traffic,
  TrafficResult,
} from './types';

interface MeasurePropagationOptions {
  readonly size: DeploymentSize;
  readonly targetSeconds: number;
  readonly changes: number;
  readonly seed: number;
}

const SETTLING_MILLISECONDS = 20_000;
const STEADY_PERIOD_MILLISECONDS = 60_000;
const CHANGE_INTERVAL_MILLISECONDS = 8_000;
/** Time between two changes at 1,300 changes a day. */
const SECONDS_PER_CHANGE = 66;
const MILLISECONDS_PER_SECOND = 1_000;

interface SteadyMeasurements {
  readonly storeCallsPerSecond: number;
  readonly processorSharePerHost: number;
  readonly traffic: ReadonlyMap<string, Traffic>;
}

/** Starts a deployment, measures a steady minute and then a number of consecutive changes. */
export default async function measurePropagation(
  options: MeasurePropagationOptions,
): Promise<PropagationResult> {
  const { size, targetSeconds, changes, seed } = options;
  const settings = createSettings(size);
  const deployment = createDeployment({ settings, seed });
  await deployment.advance(2_000);
  await applySettings(deployment, settings, 0);
  await deployment.advance(SETTLING_MILLISECONDS);
  const steady = await measureSteady(deployment);
  const callsBefore = countCalls(deployment);
  const trafficBefore = copyTraffic(deployment);
  const delays: number[] = [];
  for (let index = 1; index <= changes; index += 1) {
    delays.push(await measureChange(deployment, settings, index));
  }
  const changed = subtractTraffic(copyTraffic(deployment), trafficBefore);
  const changeSeconds = (changes * CHANGE_INTERVAL_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  const steadyCalls = steady.storeCallsPerSecond * changeSeconds;
  const watches = deployment.getHosts().filter(({ membership }) => membership.view(0).isDelegate);
  deployment.close();
  delays.sort((left, right) => left - right);
  return {
    hosts: settings.entryHosts.length,
    domains: size.domains,
    settingsBytes: encode(settings).length,
    changes,
    inForceEverywhereSeconds: {
      median: round(delays[Math.floor(delays.length / 2)]! / MILLISECONDS_PER_SECOND),
      worst: round(delays.at(-1)! / MILLISECONDS_PER_SECOND),
    },
    targetSeconds,
    storeCallsPerSecond: round(steady.storeCallsPerSecond),
    storeWatchesOpen: watches.length,
    storeCallsPerChange: round((countCalls(deployment) - callsBefore - steadyCalls) / changes),
    bytesPerSecond: summariseTraffic(steady.traffic, changed, changes),
    messagesPerSecondWorstHost: round(
      Math.max(...[...steady.traffic.values()].map(({ messages }) => messages)) /
        (STEADY_PERIOD_MILLISECONDS / MILLISECONDS_PER_SECOND),
    ),
    processorSharePerHost: steady.processorSharePerHost,
  };
}

async function applySettings(
  deployment: Deployment,
  settings: DeploymentSettings,
  index: number,
): Promise<void> {
  const hosts = deployment.getHosts();
  const host = hosts[(index * 7) % hosts.length]!;
  const customers = settings.customers.map((customer, position) =>
    position === index % settings.customers.length ? { ...customer, weight: 50 + index } : customer,
  );
  const result = await deployment.runUntilDone(
    host.apply({
      change: { kind: 'replaceSettings', settings: { ...settings, customers } },
      author: 'benchmark',
      changeId: `change-${index}`,
    }),
  );
  if (result !== 'accepted') {
    throw new RangeError(`a change without a concurrent one was not accepted: ${result}`);
  }
}

/**
 * Returns the milliseconds from the request to the activation at the last host; infinity when a
 * host lacks the change.
 */
async function measureChange(
  deployment: Deployment,
  settings: DeploymentSettings,
  index: number,
): Promise<number> {
  const { clock, activations } = deployment;
  const startedAt = clock.now();
  const activationsBefore = activations.length;
  await applySettings(deployment, settings, index);
  await deployment.advance(CHANGE_INTERVAL_MILLISECONDS - (clock.now() - startedAt));
  const events = activations
    .slice(activationsBefore)
    .filter(({ changeId }) => changeId === `change-${index}`);
  return events.length < deployment.getHosts().length
    ? Number.POSITIVE_INFINITY
    : Math.max(...events.map(({ at }) => at - startedAt));
}

async function measureSteady(deployment: Deployment): Promise<SteadyMeasurements> {
  const calls = countCalls(deployment);
  const traffic = copyTraffic(deployment);
  const processor = process.cpuUsage();
  await deployment.advance(STEADY_PERIOD_MILLISECONDS);
  const { user, system } = process.cpuUsage(processor);
  const seconds = STEADY_PERIOD_MILLISECONDS / MILLISECONDS_PER_SECOND;
  return {
    storeCallsPerSecond: (countCalls(deployment) - calls) / seconds,
    processorSharePerHost:
      Math.round(((user + system) / 1e6 / seconds / deployment.getHosts().length) * 1e5) / 1e5,
    traffic: subtractTraffic(copyTraffic(deployment), traffic),
  };
}

function countCalls({ model }: Deployment): number {
  const { reads, writes, watches } = model.getCounts();
  return reads + writes + watches;
}

function copyTraffic(deployment: Deployment): ReadonlyMap<string, Traffic> {
  return new Map(deployment.getHosts().map(({ id, traffic }) => [id, { ...traffic }]));
}

function subtractTraffic(
  after: ReadonlyMap<string, Traffic>,
  before: ReadonlyMap<string, Traffic>,
): ReadonlyMap<string, Traffic> {
  return new Map(
    [...after].map(([id, traffic]) => {
      const earlier = before.get(id)!;
      return [
        id,
        {
          membershipBytes: traffic.membershipBytes - earlier.membershipBytes,
          configurationBytes: traffic.configurationBytes - earlier.configurationBytes,
          messages: traffic.messages - earlier.messages,
        },
      ];
    }),
  );
}

/**
 * Summarises the steady traffic with that of one change, averaged over the time between two
 * changes.
 */
function summariseTraffic(
  steady: ReadonlyMap<string, Traffic>,
  changed: ReadonlyMap<string, Traffic>,
  changes: number,
): TrafficResult {
  const seconds = STEADY_PERIOD_MILLISECONDS / MILLISECONDS_PER_SECOND;
  const totals = [...steady].map(([id, { membershipBytes, configurationBytes }]) => {
    const perChange = (changed.get(id)?.configurationBytes ?? 0) / changes;
    return (membershipBytes + configurationBytes) / seconds + perChange / SECONDS_PER_CHANGE;
  });
  const membership = [...steady.values()].map(({ membershipBytes }) => membershipBytes / seconds);
  totals.sort((left, right) => left - right);
  return {
    worstHost: Math.round(totals.at(-1)!),
    medianHost: Math.round(totals[Math.floor(totals.length / 2)]!),
    membershipWorstHost: Math.round(Math.max(...membership)),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
