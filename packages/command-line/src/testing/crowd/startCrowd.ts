import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Crowd, RunningCrowd } from './types';

/** Starts a crowd in a process of its own. */
export default function startCrowd(crowd: Crowd): RunningCrowd {
  const child = fork(fileURLToPath(new URL('crowdMain.ts', import.meta.url)), {
    execArgv: ['--import', 'tsx'],
  });
  child.send(crowd);
  const ended = new Promise<void>((resolve) => {
    child.once('exit', () => resolve());
  });
  const settled = new Promise<void>((resolve, reject) => {
    child.once('message', () => resolve());
    child.once('exit', (code) => reject(new Error(`the crowd ended with ${code}`)));
  });
  // A test that fails earlier does not wait for it.
  settled.catch(() => undefined);
  return {
    settled,
    async leave() {
      child.kill('SIGKILL');
      await ended;
    },
  };
}
