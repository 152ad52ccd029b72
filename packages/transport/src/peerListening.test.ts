import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { generate } from 'selfsigned';
import { Debug } from '@rattanreel/core';
import createPeerTransport from './createPeerTransport';
import type { PeerSecurity } from './types';

const TAKEN_FOR_MS = 300;

async function takeAddress(): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

function open(
  entryHost: string,
  listenAddress: string,
  security: PeerSecurity,
  stop?: AbortSignal,
) {
  return createPeerTransport<string, string, string>({
    identity: { entryHost, incarnation: `${entryHost}-1` },
    listenAddress,
    listening: { signal: stop },
    security,
    onMessage: () => undefined,
    onQuestion: async ({ body }) => `${body} heard by ${entryHost}`,
    onHandlerError(_, error) {
      throw error;
    },
  });
}

describe('the listening address of createPeerTransport', () => {
  let folder: string;
  const securities = new Map<PeerSecurity['kind'], PeerSecurity>([
    ['plainLoopback', { kind: 'plainLoopback' }],
    ['plainTrustedNetwork', { kind: 'plainTrustedNetwork' }],
  ]);

  before(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'peer-listening-'));
    const { cert, private: key } = await generate([{ name: 'commonName', value: '127.0.0.1' }], {
      keySize: 2048,
      extensions: [
        { name: 'basicConstraints', cA: true },
        { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] },
      ],
    });
    const certificateFile = path.join(folder, 'certificate.pem');
    const privateKeyFile = path.join(folder, 'key.pem');
    await writeFile(certificateFile, cert);
    await writeFile(privateKeyFile, key);
    securities.set('mutualTls', {
      kind: 'mutualTls',
      certificateFile,
      privateKeyFile,
      authorityFile: certificateFile,
    });
  });

  after(() => rm(folder, { recursive: true }));

  (['plainLoopback', 'plainTrustedNetwork', 'mutualTls'] as const).forEach((kind) => {
    // Guards against a transport that fails, or never listens, since its address was taken at first.
    it(`waits until it is free, and then answers (${kind})`, async () => {
      const security = Debug.checkDefined(securities.get(kind), kind);
      const { server, address } = await takeAddress();
      const opening = open('right', address, security);
      await sleep(TAKEN_FOR_MS);
      server.close();
      const right = await opening;
      const left = await open('left', '127.0.0.1:0', security);
      const [from, to] = [left, right].map((opened) =>
        Debug.checkDefined(opened.kind === 'ok' ? opened.value : undefined, 'transport'),
      );
      try {
        expect(to!.address).toEqual(address);
        expect(await from!.ask(address, 'question', 5_000)).toEqual({
          kind: 'ok',
          value: 'question heard by right',
        });
      } finally {
        await from!.close();
        await to!.close();
      }
    });
  });

  // Guards against a process that does not end while it waits for the address.
  it('is not waited for any more once the signal is aborted', async () => {
    const { server, address } = await takeAddress();
    const stop = new AbortController();
    const opening = open('right', address, { kind: 'plainLoopback' }, stop.signal);
    await sleep(TAKEN_FOR_MS);
    stop.abort();
    expect((await opening) as unknown).toEqual({
      kind: 'error',
      error: { kind: 'stopped', endpoint: 'peers', address },
    });
    server.close();
  });

  // Guards against an address that stays taken after its transport has closed.
  it('is free again after close', async () => {
    const { server, address } = await takeAddress();
    server.close();
    for (let run = 0; run < 2; run += 1) {
      const opened = await open('right', address, { kind: 'plainLoopback' });
      expect(opened.kind).toEqual('ok');
      await (opened.kind === 'ok' ? opened.value : undefined)?.close();
    }
  });
});
