import { execFile } from 'node:child_process';
import { describe, it } from 'node:test';
import { promisify } from 'node:util';
import { expect } from 'earl';

const MODULE = new URL('./catchUnexpectedErrors.ts', import.meta.url).href;

const cases = [
  { name: 'an exception of a timer', code: 'setTimeout(() => { throw new Error("x"); })' },
  { name: 'a rejection that nothing handles', code: 'void Promise.reject(new Error("x"))' },
  { name: 'an exception that is no error', code: 'setImmediate(() => { throw undefined; })' },
];

// Guards against one exception that cuts every request in flight on a host.
describe('catchUnexpectedErrors', () => {
  cases.forEach(({ name, code }) => {
    it(`records ${name}, and the process goes on`, async () => {
      const script = `
        import catchUnexpectedErrors from '${MODULE}';
        catchUnexpectedErrors((origin) => console.log(origin));
        ${code};
        setTimeout(() => console.log('served'), 100);
      `;
      const { stdout } = await promisify(execFile)(process.execPath, [
        '--import',
        'tsx',
        '--input-type=module',
        '--eval',
        script,
      ]);
      const origin = name.includes('rejection') ? 'unhandledRejection' : 'uncaughtException';
      expect(stdout.trim().split('\n')).toEqual([origin, 'served']);
    });
  });
});
