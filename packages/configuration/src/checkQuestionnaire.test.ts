import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import checkQuestionnaire from './checkQuestionnaire';
import formatDiagnostics from './formatDiagnostics';
import parseDeploymentSettings from './parseDeploymentSettings';
import parseEntryHostSettings from './parseEntryHostSettings';

const HASH = 'a'.repeat(64);
const OTHER_HASH = 'b'.repeat(64);
const VALID = `formatVersion: 1
deployment: small
platform: http://127.0.0.1:7000
peerSecurity: { kind: plainLoopback }
tiers:
  - { name: high, rank: 1, firstTokenMilliseconds: 100, betweenTokensMilliseconds: 50, deadlineMilliseconds: 900 }
  - { name: low, rank: 2, firstTokenMilliseconds: 100, betweenTokensMilliseconds: 50, deadlineMilliseconds: 900 }
customers:
  - { name: one, weight: 1, tier: high, apiKeyHashes: [${HASH}] }
places:
  - name: north
    region: home
    entryHosts:
      - { name: north-1, callers: "127.0.0.1:7001", peers: "127.0.0.1:7002" }
models:
  - name: chat
    model: chat-8b
    versions: [v1]
    currentVersion: v1
    engines:
      - { name: e1, place: north, address: "http://127.0.0.1:7003", hardware: fast, memoryTokens: 9, maximumStreams: 2, checksFencing: true }
services:
  - name: book
    versions: [v1]
    currentVersion: v1
    routes:
      - { method: POST, path: /orders, repeatable: false }
    instances:
      - { name: b1, place: north, address: "http://127.0.0.1:7004", hardware: fast, maximumStreams: 2, checksFencing: false }
administrators:
  - { name: desk, role: operator, tokenHash: ${OTHER_HASH} }
`;

interface MistakeCase {
  readonly name: string;
  readonly from: string | RegExp;
  readonly to: string;
  readonly expected: readonly string[];
}

const MISTAKES: readonly MistakeCase[] = [
  { name: 'broken YAML', from: 'tiers:', to: 'tiers: ]', expected: ['5:8 RR1001 '] },
  {
    name: 'mistake before broken YAML',
    from: /127.0.0.1:7000([^]*)model: chat-8b/,
    to: 'localhost$1model: chat-8b: x',
    expected: ['3:11 RR2010 platform', '17:12 RR1001 '],
  },
  {
    name: 'repeated field',
    from: 'tiers:',
    to: 'deployment: twice\ntiers:',
    expected: ['5:1 RR1002 '],
  },
  { name: 'empty file', from: /[^]*/, to: '', expected: ['1:1 RR2003 '] },
  {
    name: 'unknown field',
    from: 'region',
    to: 'regoin',
    expected: ['11:5 RR2002 places[0].region', '12:5 RR2001 places[0].regoin'],
  },
  { name: 'missing field', from: 'rank: 2, ', to: '', expected: ['7:5 RR2002 tiers[1].rank'] },
  {
    name: 'wrong type',
    from: 'weight: 1',
    to: 'weight: much',
    expected: ['9:26 RR2003 customers[0].weight'],
  },
  {
    name: 'list expected',
    from: '[v1]',
    to: 'v1',
    expected: ['18:15 RR2003 models[0].versions', '19:21 RR3001 models[0].currentVersion'],
  },
  {
    name: 'unknown role',
    from: 'role: operator',
    to: 'role: owner',
    expected: ['31:25 RR2004 administrators[0].role'],
  },
  {
    name: 'unknown peer security',
    from: 'plainLoopback',
    to: 'plain',
    expected: ['4:23 RR2004 peerSecurity.kind'],
  },
  {
    name: 'unknown format version',
    from: 'formatVersion: 1',
    to: 'formatVersion: 2',
    expected: ['1:16 RR2004 formatVersion'],
  },
  {
    name: 'empty list',
    from: `[${HASH}]`,
    to: '[]',
    expected: ['9:55 RR2005 customers[0].apiKeyHashes'],
  },
  {
    name: 'number out of range',
    from: 'memoryTokens: 9',
    to: 'memoryTokens: 0',
    expected: ['21:99 RR2006 models[0].engines[0].memoryTokens'],
  },
  {
    name: 'fraction',
    from: 'memoryTokens: 9',
    to: 'memoryTokens: 1.5',
    expected: ['21:99 RR2006 models[0].engines[0].memoryTokens'],
  },
  {
    name: 'bad name',
    from: 'name: e1',
    to: 'name: E 1',
    expected: ['21:17 RR2007 models[0].engines[0].name'],
  },
  {
    name: 'host name as address',
    from: '127.0.0.1:7001',
    to: 'localhost:7001',
    expected: ['14:35 RR2008 places[0].entryHosts[0].callers'],
  },
  {
    name: 'port out of range',
    from: '127.0.0.1:7001',
    to: '127.0.0.1:70001',
    expected: ['14:35 RR2009 places[0].entryHosts[0].callers'],
  },
  {
    name: 'URL with a path',
    from: 'http://127.0.0.1:7003',
    to: 'http://127.0.0.1:7003/v1',
    expected: ['21:44 RR2010 models[0].engines[0].address'],
  },
  {
    name: 'bad hash',
    from: OTHER_HASH,
    to: 'secret',
    expected: ['31:46 RR2011 administrators[0].tokenHash'],
  },
  {
    name: 'bad path',
    from: 'path: /orders',
    to: 'path: orders',
    expected: ['27:31 RR2012 services[0].routes[0].path'],
  },
  {
    name: 'empty text',
    from: 'model: chat-8b',
    to: 'model: ""',
    expected: ['17:12 RR2013 models[0].model'],
  },
  {
    name: 'unknown tier',
    from: 'tier: high',
    to: 'tier: top',
    expected: ['9:35 RR3001 customers[0].tier'],
  },
  {
    name: 'unknown place',
    from: 'place: north',
    to: 'place: south',
    expected: ['21:28 RR3001 models[0].engines[0].place'],
  },
  {
    name: 'unknown version',
    from: 'currentVersion: v1',
    to: 'currentVersion: v2',
    expected: ['19:21 RR3001 models[0].currentVersion'],
  },
  {
    name: 'repeated name',
    from: 'name: b1',
    to: 'name: e1',
    expected: ['29:17 RR3002 services[0].instances[0].name'],
  },
  {
    name: 'repeated address',
    from: ':7004',
    to: ':7001',
    expected: ['29:44 RR3003 services[0].instances[0].address'],
  },
  {
    name: 'repeated secret',
    from: OTHER_HASH,
    to: HASH,
    expected: ['31:46 RR3004 administrators[0].tokenHash'],
  },
  {
    name: 'tiers out of order',
    from: 'rank: 2',
    to: 'rank: 3',
    expected: ['7:24 RR3005 tiers[1].rank'],
  },
  {
    name: 'deadlines out of order',
    from: 'firstTokenMilliseconds: 100',
    to: 'firstTokenMilliseconds: 901',
    expected: ['6:52 RR3006 tiers[0].firstTokenMilliseconds'],
  },
  {
    name: 'overlapping routes',
    from: 'repeatable: false }',
    to: 'repeatable: false }\n      - { method: POST, path: /orders/cancel, repeatable: true }',
    expected: ['28:9 RR3007 services[0].routes[1]'],
  },
  {
    name: 'plain text beyond loopback',
    from: '127.0.0.1:7002',
    to: '10.0.0.1:7002',
    expected: ['14:60 RR3008 places[0].entryHosts[0].peers'],
  },
];

function diagnose(text: string): readonly string[] {
  const checked = checkQuestionnaire({ fileName: 'answers.yaml', text });
  return checked.kind === 'valid'
    ? []
    : checked.diagnostics.map(
        ({ line, column, code, field }) => `${line}:${column} RR${code} ${field}`,
      );
}

describe(checkQuestionnaire.name, () => {
  it('accepts answers without mistakes', () => {
    expect(diagnose(VALID)).toEqual([]);
  });

  for (const { name, from, to, expected } of MISTAKES) {
    it(`reports the position of a mistake: ${name}`, () => {
      expect(diagnose(VALID.replace(from, to))).toEqual([...expected]);
    });
  }

  it('reports ten different mistakes of one file at once', () => {
    const names = [
      'missing field',
      'wrong type',
      'unknown role',
      'number out of range',
      'bad name',
      'host name as address',
      'bad path',
      'unknown tier',
      'tiers out of order',
      'plain text beyond loopback',
    ];
    const chosen = MISTAKES.filter(({ name }) => names.includes(name));
    const text = chosen
      .filter(({ name }) => name !== 'missing field')
      .reduce((result, { from, to }) => result.replace(from, to), VALID)
      .replace('model: chat-8b', '');
    const diagnostics = diagnose(text);
    expect(diagnostics.length).toEqual(names.length);
    expect(new Set(diagnostics.map((line) => line.split(' ')[1])).size).toEqual(names.length);
  });

  it('formats file, position, field, message and allowed values', () => {
    const text = VALID.replace('tier: high', 'tier: top');
    const checked = checkQuestionnaire({ fileName: 'answers.yaml', text });
    expect(checked.kind === 'invalid' && formatDiagnostics(checked.diagnostics)).toEqual(
      "answers.yaml:9:35 - error RR3001: customers[0].tier: There is no tier named 'top'. Allowed: high, low.\n",
    );
  });

  const examples = [
    { file: 'pioneer-valley', domains: 4, hosts: 8, backendServers: 16, customers: 5 },
    { file: 'sous-couche-armor', domains: 3, hosts: 6, backendServers: 9, customers: 5 },
    { file: 'demo', domains: 3, hosts: 6, backendServers: 9, customers: 3 },
  ];
  for (const { file, ...sizes } of examples) {
    it(`generates settings that can be parsed again: ${file}`, () => {
      const fileName = new URL(`../../../examples/${file}.yaml`, import.meta.url);
      const checked = checkQuestionnaire({ fileName: file, text: readFileSync(fileName, 'utf8') });
      if (checked.kind === 'invalid') {
        throw new Error(formatDiagnostics(checked.diagnostics));
      }
      const { settings, entryHosts } = checked;
      expect({
        domains: settings.failureDomains.length,
        hosts: entryHosts.length,
        backendServers: settings.backendServers.length,
        customers: settings.customers.length,
      }).toEqual(sizes);
      const stored: unknown = JSON.parse(JSON.stringify(settings));
      expect(parseDeploymentSettings(stored)).toEqual({ kind: 'ok', value: settings });
      entryHosts.forEach((host) =>
        expect(parseEntryHostSettings(host)).toEqual({ kind: 'ok', value: host }),
      );
    });
  }
});
