/** Writes what a script saw to record.txt in its folder, and ends the script with its result. */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';

export default function createRecord(folder) {
  const startedAt = Date.now();
  const lines = [];
  const add = (line) => {
    lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${line}`);
  };
  return {
    add,
    /** Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. */
    finish(code, summary) {
      add(`result ${code}: ${summary}`);
      writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
      process.stdout.write(`${summary}\n`);
      process.exit(code);
    },
  };
}
