import { createHash } from 'node:crypto';
import { EventEmitter } from 'node:events';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { checkQuestionnaire } from '@rattanreel/configuration';
import type { DeploymentSettings } from '@rattanreel/configuration';
import { createRandom, createVirtualClock, Debug, fail } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import createAdmission from '../createAdmission';
import createSettingsView from '../createSettingsView';
import createCallerApplication from './createCallerApplication';
import type { CallerServices } from './types';

const EXAMPLE = new URL('../../../../examples/demo.yaml', import.meta.url);
const ADDED = { id: 'added', address: 'http://127.0.0.1:9' };
const ignore = (): void => undefined;

function readSettings(): DeploymentSettings {
  const checked = checkQuestionnaire({ fileName: 'demo', text: readFileSync(EXAMPLE, 'utf8') });
  const settings = Debug.checkDefined(
    checked.kind === 'valid' ? checked.settings : undefined,
    'settings',
  );
  const apiKeyHashes = [createHash('sha256').update('key').digest('hex')];
  return { ...settings, customers: [{ ...settings.customers[0]!, apiKeyHashes }] };
}

/** Lets a request wait for its grant while the configuration changes. */
async function callWhile(
  change: (settings: DeploymentSettings) => DeploymentSettings,
  path: string,
  body: string | undefined,
): Promise<readonly string[]> {
  const before = readSettings();
  const server = { ...before.backendServers[0]!, ...ADDED };
  const kept = { ...before, backendServers: [...before.backendServers, server] };
  let view = createSettingsView(change(kept) === kept ? before : kept);
  const addresses: string[] = [];
  const refuse = async ({ address }: { address: string }) => {
    addresses.push(address);
    return fail({ kind: 'notConnected' });
  };
  const services = {
    failureDomain: 'north',
    clock: createVirtualClock(),
    random: createRandom(1),
    logger: silentLogger,
    metrics: { requestEnded: ignore },
    decisions: { record: ignore },
    grants: {
      obtain: async ({ lifecycle }: { lifecycle: { tryGrant(): boolean } }) => {
        view = createSettingsView(change(kept));
        lifecycle.tryGrant();
        const grant = { backendServer: ADDED.id };
        return { kind: 'granted', heldGrant: { grant, release: ignore, reportFirstToken: ignore } };
      },
    },
    serviceClient: { call: refuse },
    engineClient: { openStream: refuse, cancelStream: refuse },
    tryGetSettings: () => view,
    admission: createAdmission(1),
  } as unknown as CallerServices;
  const application = createCallerApplication({
    services,
    administration: {} as Parameters<typeof createCallerApplication>[0]['administration'],
    isReady: () => true,
  });
  const outgoing = Object.assign(new EventEmitter(), { headersSent: false });
  const headers = { authorization: 'Bearer key', 'content-type': 'application/json' };
  const init = body === undefined ? { headers } : { method: 'POST', headers, body };
  await application.request(path, init, { outgoing });
  return addresses;
}

const chat = JSON.stringify({ model: 'assistant', messages: [{ role: 'user', content: 'hi' }] });
const calls = [
  { name: 'a call of a service', path: '/services/order-book/orders', body: undefined },
  { name: 'a chat', path: '/v1/chat/completions', body: chat },
];
const changes = [
  { name: 'added', change: (settings: DeploymentSettings) => settings },
  {
    name: 'removed',
    change: (settings: DeploymentSettings) => ({ ...settings, backendServers: [] }),
  },
];

describe('a request that waits while the configuration changes', () => {
  calls.forEach(({ name, path, body }) =>
    changes.forEach((each) => {
      // Guards against a granted request that fails since its settings do not have its server.
      it(`is sent to its server, which was ${each.name} meanwhile: ${name}`, async () => {
        const addresses = await callWhile(each.change, path, body);
        expect([...new Set(addresses)]).toEqual([ADDED.address]);
      });
    }),
  );
});
