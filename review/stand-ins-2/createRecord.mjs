/** Writes what happened into `record.txt` of a case, one JSON line each, with milliseconds. */
import { createWriteStream } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';

export default function createRecord(folder) {
  const startedAt = performance.now();
  const file = createWriteStream(path.join(folder, 'record.txt'));
  const now = () => Math.round(performance.now() - startedAt);
  return {
    now,
    record(what, fields = {}) {
      file.write(`${JSON.stringify({ at: now(), what, ...fields })}\n`);
    },
    close: () =>
      new Promise((resolve) => {
        file.end(resolve);
      }),
  };
}
