import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import { expect } from 'earl';
import readTextFile from './readTextFile';

const TEXT = 'zone=north\nname=Grüße\n'.repeat(9_000);
const LIMIT = { timeout: 10_000 };

interface Case {
  readonly name: string;
  /** Prepares the file. */
  prepare(fileName: string): Promise<void>;
  /** Acts while the file is read. */
  act?(fileName: string, abort: AbortController): Promise<void>;
  /** The text, or the error. */
  readonly expected: string | RegExp;
}

async function createPipe(fileName: string): Promise<void> {
  await promisify(execFile)('mkfifo', [fileName]);
}

const cases: readonly Case[] = [
  {
    name: 'a regular file',
    prepare: (fileName) => writeFile(fileName, TEXT),
    expected: TEXT,
  },
  {
    name: 'an empty file',
    prepare: (fileName) => writeFile(fileName, ''),
    expected: '',
  },
  {
    name: 'a pipe with a late writer',
    prepare: createPipe,
    act: (fileName) => writeFile(fileName, TEXT),
    expected: TEXT,
  },
  {
    name: 'a pipe with a late writer of nothing',
    prepare: createPipe,
    act: (fileName) => writeFile(fileName, ''),
    expected: '',
  },
  {
    name: 'a pipe without a writer, given up',
    prepare: createPipe,
    act: async (_, abort) => abort.abort(),
    expected: /abort/,
  },
  {
    name: 'a missing file',
    prepare: async () => undefined,
    expected: /ENOENT/,
  },
  {
    name: 'a device',
    prepare: (fileName) =>
      promisify(execFile)('ln', ['-s', '/dev/zero', fileName]).then(() => undefined),
    expected: /neither a regular file nor a pipe/,
  },
];

describe('reading a text file', () => {
  let folder: string;

  before(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'read-text-file-'));
  });
  after(() => rm(folder, { recursive: true }));

  cases.forEach(({ name, prepare, act, expected }, index) => {
    it(name, LIMIT, async () => {
      const fileName = path.join(folder, String(index));
      await prepare(fileName);
      const abort = new AbortController();
      const result = readTextFile(fileName, { signal: abort.signal }).catch(String);
      await sleep(100);
      await act?.(fileName, abort);
      if (typeof expected === 'string') {
        expect(await result).toEqual(expected);
      } else {
        expect(await result).toMatchRegex(expected);
      }
    });
  });
});
