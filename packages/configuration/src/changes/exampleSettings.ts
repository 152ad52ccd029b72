import { readFileSync } from 'node:fs';
import { Debug } from '@rattanreel/core';
import checkQuestionnaire from '../checkQuestionnaire';
import type { AcceptedConfiguration, DeploymentSettings } from '../types';

const EXAMPLE = new URL('../../../../examples/demo.yaml', import.meta.url);

/** Settings of the example deployment; for tests. */
function read(): DeploymentSettings {
  const text = readFileSync(EXAMPLE, 'utf8');
  const checked = checkQuestionnaire({ fileName: 'demo.yaml', text });
  return Debug.checkDefined(checked.kind === 'valid' ? checked.settings : undefined, 'settings');
}

/** The example as an accepted configuration with its first tier's deadline set to the generation. */
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

/** The example deployment for tests. */
const exampleSettings = { read, accept };

export default exampleSettings;
