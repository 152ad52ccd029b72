import { spawnSync } from 'node:child_process';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, it } from 'node:test';
import { expect } from 'earl';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));

/** Returns the lines that a process writes when it logs 1,000 refusals and one failure at once. */
function logAtOnce(): readonly Record<string, unknown>[] {
  const program = `
    import createBoundedLogger from './createBoundedLogger';
    import { createSystemClock } from '@rattanreel/core';
    const logger = createBoundedLogger({ clock: createSystemClock(), bindings: { host: 'h' } });
    for (let index = 0; index < 1000; index += 1) logger.info({ index }, 'request refused');
    logger.warn({ request: 'r1' }, 'request failed');
    logger.flush();
    process.exit(0);
  `;
  const run = spawnSync(
    process.execPath,
    ['--import', 'tsx', '--input-type=module', '-e', program],
    {
      cwd: FOLDER,
      encoding: 'utf8',
    },
  );
  return run.stdout
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Record<string, unknown>);
}

describe('createBoundedLogger', () => {
  it('limits the rate of one message, keeps the others, and reports the lines left out', () => {
    const lines = logAtOnce();
    const messages = lines.map(({ msg }) => msg);
    expect(messages.filter((message) => message === 'request refused').length).toEqual(40);
    expect(messages.filter((message) => message === 'request failed').length).toEqual(1);
    const summary = lines.find(({ msg }) => msg === 'lines left out');
    expect(summary?.suppressed).toEqual({ 'request refused': 960 });
  });
});
