import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { Debug } from '@rattanreel/core';
import readEntryHostSettings from './readEntryHostSettings';
import reloadEntryHostSettings from './reloadEntryHostSettings';

const SETTINGS = [
  'kind: entryHostSettings',
  'entryHost: north-1',
  'failureDomain: north',
  'callerAddress: 127.0.0.1:1',
  'peerAddress: 127.0.0.1:2',
  'platformUrl: http://127.0.0.1:3',
  'seedPeers: []',
  'peerSecurity: { kind: plainLoopback }',
  'logLevel: info',
  '',
].join('\n');

interface Case {
  readonly name: string;
  /** Undefined for a folder in the place of the file. */
  readonly text: string | undefined;
  /** Code, line and field of each diagnostic. */
  readonly diagnostics: readonly (readonly [string, number | undefined, string])[];
}

const cases: readonly Case[] = [
  { name: 'valid settings', text: SETTINGS, diagnostics: [] },
  { name: 'a folder', text: undefined, diagnostics: [['unreadable-file', undefined, '']] },
  { name: 'an empty file', text: '', diagnostics: [['missing-field', undefined, '']] },
  { name: 'a file cut in a name', text: 'a: 1\nfail', diagnostics: [['malformed-line', 2, '']] },
  {
    name: 'malformed YAML',
    text: 'a: 1\nb: }{',
    diagnostics: [
      ['malformed-line', 2, ''],
      ['malformed-line', 2, ''],
    ],
  },
  {
    name: 'a file without its last line',
    text: SETTINGS.replace(/logLevel.*\n/, ''),
    diagnostics: [['missing-field', undefined, 'logLevel']],
  },
  {
    name: 'fields with values that are not allowed',
    text: SETTINGS.replace('info', 'loud').replace('127.0.0.1:2', '10.0.0.1:2'),
    diagnostics: [['malformed-field', 9, 'logLevel']],
  },
  {
    name: 'plain text between hosts',
    text: SETTINGS.replace('127.0.0.1:2', '10.0.0.1:2'),
    diagnostics: [['malformed-field', 5, 'peerAddress']],
  },
];

// Guards against a process that ends with a bare stack because its settings cannot be read.
describe('readEntryHostSettings', () => {
  let folder: string;

  before(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'entry-host-settings-'));
  });

  after(() => rm(folder, { recursive: true }));

  cases.forEach(({ name, text, diagnostics }, index) => {
    it(`finds the errors of ${name}, and a reload logs them`, async () => {
      const fileName = text === undefined ? folder : path.join(folder, `${index}.yaml`);
      if (text !== undefined) {
        await writeFile(fileName, text);
      }
      const settings = await readEntryHostSettings(fileName);
      const found = settings.kind === 'error' ? settings.error : [];
      expect(found.map(({ code, line, field }) => [code, line, field])).toEqual(
        diagnostics.map((diagnostic) => [...diagnostic]),
      );

      const startFile = path.join(folder, 'start.yaml');
      await writeFile(startFile, SETTINGS.replace('seedPeers: []', 'seedPeers: [a]'));
      const read = await readEntryHostSettings(startFile);
      const started = Debug.checkDefined(read.kind === 'ok' ? read.value : undefined, 'settings');
      const lines: unknown[] = [];
      const applied: unknown[] = [];
      const inForce = await reloadEntryHostSettings({
        fileName,
        started,
        settings: started,
        logger: {
          info: (fields, message) => lines.push([message, fields]),
          error: (fields, message) => lines.push([message, fields]),
        },
        apply: (next) => applied.push(next),
      });
      if (settings.kind === 'ok') {
        const changed = ['seedPeers'];
        expect(lines).toEqual([['settings reloaded', { changed, needsRestart: changed }]]);
        expect(applied).toEqual([inForce]);
        expect(inForce).toEqual(settings.value);
      } else {
        const message = 'settings not reloaded, previous settings remain in force';
        expect(lines).toEqual([[message, { diagnostics: settings.error }]]);
        expect(applied).toEqual([]);
        expect(inForce).toEqual(started);
      }
    });
  });
});
