import { readFileSync } from 'node:fs';
import { Debug } from '@rattanreel/core';
import checkQuestionnaire from '../checkQuestionnaire';
import type { AcceptedConfiguration, DeploymentSettings } from '../types';

const EXAMPLE = new URL('../../../../examples/demo.yaml', import.meta.url);

/** Returns the settings of the example deployment. */
function read(): DeploymentSettings {
  const text = readFileSync(EXAMPLE, 'utf8');
  const checked = checkQuestionnaire({ fileName: 'demo.yaml', text });
  return Debug.checkDefined(checked.kind === 'valid' ? checked.settings : undefined, 'settings');
}

/**
 * Returns the example as an accepted configuration whose generation changes its first tier's
 * deadline.
 */
function accept(generation: number): AcceptedConfiguration {
  const settings = read();
  const tiers = settings.tiers.map((tier, index) =>
    index === 0 ? { ...tier, defaultDeadlineMilliseconds: 10_000 + generation } : tier,
  );
  return {
    kind: 'acceptedConfiguration',
    generation,
    changeId: `change-${generation}`,
    author: 'test',
    acceptedAt: '2026-12-04T00:00:00.000Z',
    settings: { ...settings, tiers },
  };
}

/** Example deployment for tests. */
const exampleSettings = { read, accept };

export default exampleSettings;
