import { describe, it } from 'node:test';
import { createRandom } from '@rattanreel/core';
import { expect } from 'earl';
import fc from 'fast-check';
import createConfigurationPatch from './changes/createConfigurationPatch';
import exampleSettings from './changes/exampleSettings';
import tryApplyPatch from './changes/tryApplyPatch';
import diffSettings from './diffSettings';
import type { DeploymentSettings } from './types';

const base = exampleSettings.read();

function editRandomly(settings: DeploymentSettings, seed: number): DeploymentSettings {
  const random = createRandom(seed);
  let edited = settings;
  for (let step = random.integer(0, 6); step >= 0; step -= 1) {
    edited = EDITS[random.integer(0, EDITS.length - 1)]!(edited, random.integer(1, 99));
  }
  return edited;
}

const EDITS: readonly ((settings: DeploymentSettings, value: number) => DeploymentSettings)[] = [
  (settings, value) => ({
    ...settings,
    customers: settings.customers.map((customer, index) =>
      index === value % settings.customers.length ? { ...customer, weight: value } : customer,
    ),
  }),
  (settings, value) => ({
    ...settings,
    customers: [
      { id: `customer-${value}`, weight: 1, tier: 'urgent', apiKeyHashes: [] },
      ...settings.customers.filter(({ id }) => id !== `customer-${value}`),
    ],
  }),
  (settings) => ({ ...settings, backendServers: settings.backendServers.slice(1) }),
  (settings) => ({ ...settings, entryHosts: settings.entryHosts.toReversed() }),
  (settings, value) => ({
    ...settings,
    drained: { ...settings.drained, entryHosts: [`host-${value}`] },
  }),
  (settings, value) => ({
    ...settings,
    pools: settings.pools.map((pool) =>
      pool.kind === 'service'
        ? { ...pool, routes: pool.routes.map((route) => ({ ...route, tier: `t${value}` })) }
        : pool,
    ),
  }),
  (settings) => ({ ...settings, customers: [] }),
];

describe(diffSettings.name, () => {
  const cases = [
    { name: 'nothing', after: base, expected: [] },
    {
      name: 'a field of a named entry',
      after: {
        ...base,
        customers: base.customers.map((customer) =>
          customer.id === 'office' ? { ...customer, weight: 9 } : customer,
        ),
      },
      expected: ['changed customers[office].weight'],
    },
    {
      name: 'a removed entry',
      after: { ...base, customers: base.customers.slice(0, 2) },
      expected: ['removed customers[school]'],
    },
    {
      name: 'a drained host',
      after: { ...base, drained: { ...base.drained, entryHosts: ['east-1'] } },
      expected: ['changed drained.entryHosts'],
    },
    {
      name: 'a different order of tiers',
      after: { ...base, tiers: base.tiers.toReversed() },
      expected: ['reordered tiers'],
    },
  ];
  for (const { name, after, expected } of cases) {
    it(`reports ${name}`, () => {
      const differences = diffSettings(base, after);
      expect(differences.map(({ kind, path }) => `${kind} ${path}`)).toEqual(expected);
    });
  }

  it('produces a patch that leads to the later settings, for random edits', () => {
    fc.assert(
      fc.property(fc.integer(), fc.integer(), (first, second) => {
        const before = {
          ...exampleSettings.accept(3),
          settings: editRandomly(base, first),
        };
        const after = {
          ...exampleSettings.accept(4),
          settings: editRandomly(before.settings, second),
        };
        const sent: unknown = JSON.parse(JSON.stringify(createConfigurationPatch(before, after)));
        expect(tryApplyPatch(before, sent as never)).toEqual(after);
        expect(tryApplyPatch(after, sent as never)).toEqual(undefined);
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  it('rejects a patch with a missing difference', () => {
    const patch = createConfigurationPatch(exampleSettings.accept(3), exampleSettings.accept(4));
    const damaged = { ...patch, differences: patch.differences.slice(1) };
    expect(tryApplyPatch(exampleSettings.accept(3), damaged)).toEqual(undefined);
  });
});
