import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Debug } from '@rattanreel/core';
import createPeerTransport from './createPeerTransport';
import type { Envelope, HandledInput, PeerTransport } from './types';

/** More than gRPC lets pass by default. */
const LARGE_TASK = 6_000_000;

function throwError(_input: HandledInput, error: unknown): never {
  throw error;
}

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
    onHandlerError: throwError,
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
      onHandlerError: throwError,
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
      onHandlerError: throwError,
    });
    expect(outcome).toEqual({
      kind: 'error',
      error: { kind: 'plainTextOffLoopback', address: '10.0.0.1:0' },
    });
  });
});

interface TaskCase {
  readonly name: string;
  /** What the peer reports before it ends the task. */
  readonly reports: readonly string[];
  readonly isListening: boolean;
  readonly end: 'ended' | 'unreachable';
}

const taskCases: readonly TaskCase[] = [
  {
    name: 'all reports in order',
    reports: ['one', 'two', 'three'],
    isListening: true,
    end: 'ended',
  },
  { name: 'the end of a task without reports', reports: [], isListening: true, end: 'ended' },
  {
    name: 'that a peer does not listen',
    reports: [],
    isListening: false,
    end: 'unreachable',
  },
];

describe('tasks of createPeerTransport', () => {
  taskCases.forEach(({ name, reports, isListening, end }) => {
    it(`delivers ${name}`, async () => {
      const create = async (entryHost: string) => {
        const outcome = await createPeerTransport<string, string, string, Uint8Array, string>({
          identity: { entryHost, incarnation: `${entryHost}-1` },
          listenAddress: '127.0.0.1:0',
          security: { kind: 'plainLoopback' },
          onMessage: () => undefined,
          onQuestion: async () => '',
          onHandlerError: throwError,
          onTask({ body }, reporter) {
            expect(body.length).toEqual(LARGE_TASK);
            reports.forEach((report) => reporter.report(report));
            reporter.end();
            return () => undefined;
          },
        });
        return Debug.checkDefined(outcome.kind === 'ok' ? outcome.value : undefined, 'transport');
      };
      const left = await create('left');
      const right = await create('right');
      const received: string[] = [];
      const ended = await new Promise<string>((resolve) => {
        left.perform(
          isListening ? right.address : '127.0.0.1:1',
          new Uint8Array(LARGE_TASK),
          { onProgress: (progress) => received.push(progress), onEnd: resolve },
          1_000,
        );
      });
      expect(ended).toEqual(end);
      expect(received).toEqual([...reports]);
      await left.close();
      await right.close();
    });
  });
});

const INVALID_ADDRESSES = ['', ':', '127.0.0.1', '127.0.0.\ufffd:7', '127.0.0.1:99999', 'host:1'];

// Guards against an entry of another host whose address ends each host that sends to it.
describe('addresses of createPeerTransport', () => {
  INVALID_ADDRESSES.forEach((address) => {
    it(`reaches nobody at ${JSON.stringify(address)}`, async () => {
      const left = await startTransport('left', []);
      left.send(address, 'one');
      const answer = await left.ask(address, 'two');
      const end = await new Promise((resolve) => {
        left.perform(
          address,
          undefined as never,
          { onProgress: () => undefined, onEnd: resolve },
          100,
        );
      });
      expect(answer.kind === 'error' && answer.error.kind).toEqual('unreachable');
      expect(end).toEqual('unreachable');
      await left.close();
    });
  });
});

const handledInputs: readonly HandledInput[] = ['message', 'question', 'task', 'progress'];

// Guards against a peer that ends this process by what it sends.
describe('handlers of createPeerTransport', () => {
  handledInputs.forEach((failing) => {
    it(`outlives an exception while it handles a ${failing}`, async () => {
      const errors: string[] = [];
      const failIf = (input: HandledInput): void => {
        if (input === failing) {
          throw new Error('cannot be handled');
        }
      };
      const create = async (entryHost: string) => {
        const outcome = await createPeerTransport<string, string, string, string, string>({
          identity: { entryHost, incarnation: `${entryHost}-1` },
          listenAddress: '127.0.0.1:0',
          security: { kind: 'plainLoopback' },
          onMessage: () => failIf('message'),
          async onQuestion() {
            failIf('question');
            return 'answer';
          },
          onTask(_, reporter) {
            failIf('task');
            reporter.report('one');
            reporter.end();
            return () => undefined;
          },
          onHandlerError: (input) => errors.push(input),
        });
        return Debug.checkDefined(outcome.kind === 'ok' ? outcome.value : undefined, 'transport');
      };
      const left = await create('left');
      const right = await create('right');
      left.send(right.address, 'one');
      const answer = await left.ask(right.address, 'two');
      const end = await new Promise((resolve) => {
        left.perform(
          right.address,
          'three',
          { onProgress: () => failIf('progress'), onEnd: resolve },
          1_000,
        );
      });
      expect(answer.kind).toEqual(failing === 'question' ? 'error' : 'ok');
      expect(end).toEqual('ended');
      expect(errors).toEqual([failing]);
      await left.close();
      await right.close();
    });
  });
});
