import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestServer from '../testing/createTestServer';
import type { ListedServer, ServerDefect } from '../types';
import tryGetServerDefect from './tryGetServerDefect';

const UNREADABLE = '\ufffd';

interface Case {
  readonly entry: Partial<ListedServer>;
  readonly defect: ServerDefect | undefined;
}

const cases: readonly Case[] = [
  { entry: {}, defect: undefined },
  { entry: { address: '[::1]:80' }, defect: undefined },
  { entry: { slots: 65_535 }, defect: undefined },
  { entry: { failureDomain: 'São Paulo' }, defect: undefined },
  { entry: { id: 'x'.repeat(256) }, defect: undefined },
  { entry: { address: `127.0.0.${UNREADABLE}:80` }, defect: 'address' },
  { entry: { address: '127.0.0.1:99999' }, defect: 'address' },
  { entry: { address: '127.0.0.1:0' }, defect: 'address' },
  { entry: { address: '127.0.0.1' }, defect: 'address' },
  { entry: { address: '127.0.0.1:80/x' }, defect: 'address' },
  { entry: { address: 'user@127.0.0.1:80' }, defect: 'address' },
  { entry: { address: 'somewhere.example:80' }, defect: 'address' },
  { entry: { address: '?:80' }, defect: 'address' },
  { entry: { address: '[fe80::1%eth0]:80' }, defect: 'address' },
  { entry: { address: '' }, defect: 'address' },
  { entry: { id: `i-${UNREADABLE}` }, defect: 'identifier' },
  { entry: { id: 'i-1\r\nx: y' }, defect: 'identifier' },
  { entry: { id: ' i-1' }, defect: 'identifier' },
  { entry: { id: 'é' }, defect: 'identifier' },
  { entry: { id: '' }, defect: 'identifier' },
  { entry: { id: '__proto__' }, defect: 'identifier' },
  { entry: { id: 'x'.repeat(257) }, defect: 'identifier' },
  { entry: { pool: '__proto__' }, defect: 'name' },
  { entry: { failureDomain: 'a\u0000' }, defect: 'name' },
  { entry: { version: `v${UNREADABLE}` }, defect: 'name' },
  { entry: { version: '\ud800' }, defect: 'name' },
  { entry: { slots: 65_536 }, defect: 'slots' },
  { entry: { slots: Number.MAX_SAFE_INTEGER }, defect: 'slots' },
];

// Guards against an entry of another writer that ends each host which chooses it.
describe('tryGetServerDefect', () => {
  cases.forEach(({ entry, defect }) => {
    it(`finds ${defect ?? 'no defect'} in ${JSON.stringify(entry).slice(0, 60)}`, () => {
      expect(tryGetServerDefect(createTestServer(entry).listed)).toEqual(defect);
    });
  });
});
