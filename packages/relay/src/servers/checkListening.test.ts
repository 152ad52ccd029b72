import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestServer from '../testing/createTestServer';
import checkListening from './checkListening';
import type { Listening } from './types';

function check(port: number): Promise<Listening> {
  const { listed } = createTestServer({ address: `127.0.0.1:${port}` });
  return new Promise((resolve) => {
    checkListening(listed, resolve);
  });
}

describe('checkListening', () => {
  // Guards against taking a server that closed one connection for one that ended.
  it('tells a server that runs from one that ended', async () => {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    expect(await check(port)).toEqual('accepting');
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await check(port)).toEqual('refused');
  });
});
