import { describe, it } from 'node:test';
import { createRandom } from '@rattanreel/core';
import type { Random } from '@rattanreel/core';
import { configurationLocation } from '@rattanreel/configuration';
import type { AcceptedConfiguration, DrainTarget, SettingsChange } from '@rattanreel/configuration';
import { expect } from 'earl';
import fc from 'fast-check';
import createDeployment from './createDeployment';
import createSettings from './createSettings';
import type { Deployment, DeploymentOptions, SimulatedHost } from './types';

const settings = createSettings({
  domains: 2,
  hostsPerDomain: 5,
  models: 2,
  engines: 4,
  customers: 2,
});
const RECOVERY_MILLISECONDS = 40_000;
const STEPS = 30;
const RANDOM_RUNS = 6;
const [east, west] = settings.failureDomains.map(({ id }) => id);

type Faults = Pick<DeploymentOptions, 'loss' | 'repeated'>;

async function createConfigured(seed: number, faults: Faults): Promise<Deployment> {
  const deployment = createDeployment({ settings, seed, ...faults });
  const change: SettingsChange = { kind: 'replaceSettings', settings };
  const first = deployment.getHosts()[0]!;
  await deployment.advance(2_000);
  await deployment.runUntilDone(first.apply({ change, author: 'first', changeId: 'first' }));
  await deployment.advance(6_000);
  return deployment;
}

async function getStoredConfiguration({
  model,
  runUntilDone,
}: Deployment): Promise<AcceptedConfiguration> {
  const { objectKind, name } = configurationLocation;
  const reply = await runUntilDone(model.call({ kind: 'get', objectKind, name }));
  return (reply.kind === 'object' ? reply.object.value : undefined) as AcceptedConfiguration;
}

function getGenerations(deployment: Deployment): ReadonlySet<number> {
  return new Set(
    deployment.getHosts().map((host) => host.getStatus().activeConfiguration?.generation ?? 0),
  );
}

/**
 * Expects that no process went back to an earlier generation and that each generation has one
 * change.
 */
function expectNoReversal({ activations }: Deployment): void {
  const changes = new Map<number, string>();
  const latest = new Map<string, number>();
  activations.forEach(({ entryHost, run, generation, changeId }) => {
    expect(changes.get(generation) ?? changeId).toEqual(changeId);
    changes.set(generation, changeId);
    const key = `${entryHost} ${run}`;
    expect(generation).toBeGreaterThanOrEqual(latest.get(key) ?? 0);
    latest.set(key, generation);
  });
}

function drawChange(random: Random): SettingsChange {
  const target: DrainTarget =
    random.integer(0, 1) === 0
      ? { kind: 'backendServer', id: settings.backendServers[random.integer(0, 3)]!.id }
      : { kind: 'entryHost', id: settings.entryHosts[random.integer(0, 9)]!.id };
  const customers = settings.customers.map((customer) => ({
    ...customer,
    weight: random.integer(1, 99),
  }));
  switch (random.integer(0, 2)) {
    case 0:
      return { kind: 'replaceSettings', settings: { ...settings, customers } };
    case 1:
      return { kind: 'drain', target };
    default:
      return { kind: 'restore', target };
  }
}

function drawHost(deployment: Deployment, random: Random): SimulatedHost {
  const hosts = deployment.getHosts();
  return hosts[random.integer(0, hosts.length - 1)]!;
}

function injectRandomFault(deployment: Deployment, random: Random, host: SimulatedHost): void {
  const other = drawHost(deployment, random);
  const faults = [
    () => deployment.setLinkFailed(host.id, other.id, true),
    () => deployment.setLinkFailed(host.id, other.id, false),
    () => deployment.setLinkFailed(east!, west!, random.integer(0, 1) === 0),
    () => deployment.setLinkFailed(host.failureDomain, 'store', random.integer(0, 1) === 0),
    () => deployment.setLinkFailed(host.id, 'store', random.integer(0, 1) === 0),
    () => deployment.model.setFaults({ outage: random.integer(0, 1) ? 'none' : 'silent' }),
    () => deployment.model.setFaults({ extraLatency: random.integer(0, 1) * 700 }),
    () => deployment.model.setFaults({ lostAnswerShare: 0.2, lateWriteShare: 0.2 }),
    () => deployment.model.stallWatches(),
    () => deployment.model.endWatches(),
    () => deployment.stop(host.id),
    () => (host.running ? undefined : deployment.start(host.id)),
  ];
  faults[random.integer(0, faults.length - 1)]!();
}

async function clearFaults(deployment: Deployment): Promise<void> {
  const { model } = deployment;
  deployment.restoreAllLinks();
  model.setFaults({ outage: 'none', extraLatency: 0, lostAnswerShare: 0, lateWriteShare: 0 });
  deployment
    .getHosts()
    .filter(({ running }) => !running)
    .forEach(({ id }) => deployment.start(id));
  await deployment.advance(RECOVERY_MILLISECONDS);
}

/**
 * Makes changes under link failures, outages, restarts and lost messages, then clears all faults
 * and checks that the hosts have converged.
 */
async function runWithRandomFaults(seed: number): Promise<void> {
  const random = createRandom(seed);
  const deployment = await createConfigured(seed, { loss: 0.15, repeated: 0.1 });
  const outcomes: Promise<string>[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    const host = drawHost(deployment, random);
    if (random.integer(0, 2) > 0) {
      injectRandomFault(deployment, random, host);
    } else {
      // Two operators make changes concurrently.
      [host, drawHost(deployment, random)]
        .filter(({ running }) => running)
        .forEach((each, index) => {
          const changeId = `change-${step}-${index}`;
          outcomes.push(each.apply({ change: drawChange(random), author: each.id, changeId }));
        });
    }
    await deployment.advance(random.integer(0, 2_500));
  }
  await clearFaults(deployment);
  const results = await deployment.runUntilDone(Promise.all(outcomes));
  const { generation, recentChanges = [] } = await getStoredConfiguration(deployment);
  expect([...getGenerations(deployment)]).toEqual([generation]);
  expect(recentChanges.length).toEqual(generation);
  const accepted = results.filter((result) => result === 'accepted').length;
  expect(generation).toBeGreaterThanOrEqual(accepted + 1);
  expectNoReversal(deployment);
  deployment.close();
}

describe(createDeployment.name, () => {
  it('never reverts, accepts one change per generation and converges after random faults', async () => {
    await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), runWithRandomFaults), {
      seed: 11,
      numRuns: RANDOM_RUNS,
    });
  });

  it('drains a partitioned domain at once, records the drain when the store is back, and restores it', async () => {
    const deployment = await createConfigured(5, {});
    const [host] = deployment.getHosts();
    const target: DrainTarget = { kind: 'failureDomain', id: east! };
    const drainedAt = () =>
      deployment
        .getHosts()
        .filter((each) => each.getStatus().settings?.drained.failureDomains.includes(east!))
        .map(({ failureDomain }) => failureDomain);
    deployment.setLinkFailed(east!, 'store', true);
    deployment.setLinkFailed(east!, west!, true);
    host!.drainLocally({ id: 'local-1', target, author: 'desk' });
    await deployment.advance(100);
    expect(drainedAt()).toEqual(Array<string>(5).fill(east!));
    deployment.restoreAllLinks();
    await deployment.advance(RECOVERY_MILLISECONDS);
    expect(drainedAt().length).toEqual(10);
    expect(host!.getStatus().localDrains).toEqual([]);
    const change: SettingsChange = { kind: 'restore', target };
    await deployment.runUntilDone(host!.apply({ change, author: 'desk', changeId: 'restore-1' }));
    await deployment.advance(5_000);
    expect(drainedAt()).toEqual([]);
    deployment.close();
  });

  it('brings a restarted host to the configuration of its peers while the store is down', async () => {
    const deployment = await createConfigured(6, {});
    const { id } = deployment.getHosts()[4]!;
    deployment.stop(id);
    deployment.model.setFaults({ outage: 'silent' });
    await deployment.advance(5_000);
    deployment.start(id);
    expect(deployment.getHost(id).getStatus().ready).toEqual(false);
    await deployment.advance(5_000);
    expect([...getGenerations(deployment)]).toEqual([1]);
    deployment.close();
  });

  it('updates a host that missed the announcement through the heartbeats of its peers', async () => {
    const deployment = await createConfigured(7, {});
    const { delegates } = deployment.getHosts()[0]!.membership.view(0);
    const isolatedHost = deployment
      .getHosts()
      .find(({ id, failureDomain }) => failureDomain === east && !delegates.includes(id))!;
    delegates.forEach((delegate) => deployment.setLinkFailed(isolatedHost.id, delegate, true));
    const change: SettingsChange = {
      kind: 'drain',
      target: { kind: 'entryHost', id: settings.entryHosts[9]!.id },
    };
    const [requestingHost] = deployment.getHosts().filter(({ id }) => delegates.includes(id));
    await deployment.runUntilDone(
      requestingHost!.apply({ change, author: 'desk', changeId: 'drain-1' }),
    );
    await deployment.advance(900);
    expect(isolatedHost.getStatus().activeConfiguration?.generation).toEqual(2);
    deployment.close();
  });
});
