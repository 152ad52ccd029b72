import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Debug } from '@rattanreel/core';
import createPeerTransport from './createPeerTransport';
import type { Envelope, PeerTransport } from './types';

async function startTransport(
  entryHost: string,
  received: Envelope<string>[],
): Promise<PeerTransport<string, string, string>> {
  const outcome = await createPeerTransport<string, string, string>({
    identity: { entryHost, incarnation: `${entryHost}-1` },
    listenAddress: '127.0.0.1:0',
    security: { kind: 'plainLoopback' },
    onMessage: (envelope) => received.push(envelope),
    onQuestion: async (envelope) => `${envelope.body} heard by ${entryHost}`,
  });
  return Debug.checkDefined(outcome.kind === 'ok' ? outcome.value : undefined, 'transport');
}

describe(createPeerTransport.name, () => {
  it('delivers messages in order and answers questions', async () => {
    const received: Envelope<string>[] = [];
    const left = await startTransport('left', []);
    const right = await startTransport('right', received);
    left.send(right.address, 'one');
    left.send(right.address, 'two');
    const answer = await left.ask(right.address, 'three');
    expect(answer).toEqual({ kind: 'ok', value: 'three heard by right' });
    while (received.length < 2) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    expect(received.map(({ body, from }) => [body, from.incarnation])).toEqual([
      ['one', 'left-1'],
      ['two', 'left-1'],
    ]);
    await left.close();
    await right.close();
  });

  it('sends a response back on the connection of the message', async () => {
    const outcome = await createPeerTransport<string, string, string>({
      identity: { entryHost: 'right', incarnation: 'right-1' },
      listenAddress: '127.0.0.1:0',
      security: { kind: 'plainLoopback' },
      onMessage: ({ body }, respond) => respond(`${body} received`),
      onQuestion: async () => '',
    });
    const right = Debug.checkDefined(outcome.kind === 'ok' ? outcome.value : undefined, 'right');
    const received: Envelope<string>[] = [];
    const left = await startTransport('left', received);
    left.send(right.address, 'one');
    while (received.length === 0) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    expect(received.map(({ body, from }) => [body, from.entryHost])).toEqual([
      ['one received', 'right'],
    ]);
    await left.close();
    await right.close();
  });

  it('reports a peer that does not listen as unreachable', async () => {
    const left = await startTransport('left', []);
    const answer = await left.ask('127.0.0.1:1', 'anyone');
    expect(answer.kind === 'error' && answer.error.kind).toEqual('unreachable');
    await left.close();
  });

  it('refuses plain text on an address that is not loopback', async () => {
    const outcome = await createPeerTransport<string, string, string>({
      identity: { entryHost: 'left', incarnation: 'left-1' },
      listenAddress: '10.0.0.1:0',
      security: { kind: 'plainLoopback' },
      onMessage: () => undefined,
      onQuestion: async () => '',
    });
    expect(outcome).toEqual({
      kind: 'error',
      error: { kind: 'plainTextOffLoopback', address: '10.0.0.1:0' },
    });
  });
});
