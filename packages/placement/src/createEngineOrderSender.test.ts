import { after, before, describe, it } from 'node:test';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'earl';
import type { LeaseState } from '@rattanreel/platform';
import createEngineOrderSender from './createEngineOrderSender';

interface Answer {
  readonly status: number;
  readonly body: string;
}

const received: string[] = [];
const engine: { answer: Answer; address: string } = {
  answer: { status: 202, body: '' },
  address: '',
};
const server = createServer((request, response) => {
  request.setEncoding('utf8');
  let body = '';
  request.on('data', (chunk: string) => {
    body += chunk;
  });
  request.on('end', () => {
    received.push(body);
    if (engine.answer.status === 0) {
      request.socket.destroy();
      return;
    }
    response.writeHead(engine.answer.status).end(engine.answer.body);
  });
});

before(async () => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  engine.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
after(() => {
  server.close();
});

describe(createEngineOrderSender.name, () => {
  const held: LeaseState = { kind: 'held', generation: 4 };
  const cases: readonly {
    readonly name: string;
    readonly lease: LeaseState;
    readonly answer: Answer;
    readonly result: string;
    readonly sent: number;
  }[] = [
    {
      name: 'sends an order',
      lease: held,
      answer: { status: 202, body: '' },
      result: 'ok',
      sent: 1,
    },
    {
      name: 'sends nothing without the lease',
      lease: { kind: 'notHeld' },
      answer: { status: 202, body: '' },
      result: 'leaseLost',
      sent: 0,
    },
    {
      name: 'sends nothing when its lease has a later generation',
      lease: { kind: 'held', generation: 5 },
      answer: { status: 202, body: '' },
      result: 'leaseLost',
      sent: 0,
    },
    {
      name: 'reports a stale fence',
      lease: held,
      answer: { status: 409, body: '{"kind":"staleFence","fence":9}' },
      result: 'staleFence',
      sent: 1,
    },
    {
      name: 'reports a refusal',
      lease: held,
      answer: { status: 500, body: 'no' },
      result: 'refused',
      sent: 1,
    },
    {
      name: 'reports an unknown outcome and does not retry',
      lease: held,
      answer: { status: 0, body: '' },
      result: 'outcomeUnknown',
      sent: 1,
    },
  ];
  for (const { name, lease, answer: given, result, sent } of cases) {
    it(name, async () => {
      engine.answer = given;
      received.length = 0;
      const sender = createEngineOrderSender({
        lease: { state: () => lease, stop: () => Promise.resolve() },
      });
      const outcome = await sender.send(engine.address, { order: 'setRole', role: 'decode' }, 4);
      expect(outcome.kind === 'ok' ? 'ok' : outcome.error.kind).toEqual(result);
      expect(received).toEqual(
        Array.from({ length: sent }, () => '{"order":"setRole","role":"decode","fence":4}'),
      );
      await sender.close();
    });
  }

  const states = [
    {
      name: 'reads a state',
      body: '{"incarnation":"a","version":"2","role":"both","ready":true}',
      result: 'ok',
    },
    {
      name: 'reports an answer without a version',
      body: '{"ready":true}',
      result: 'invalidAnswer',
    },
    { name: 'reports an answer that is not JSON', body: 'no', result: 'invalidAnswer' },
  ];
  for (const { name, body, result } of states) {
    it(name, async () => {
      engine.answer = { status: 200, body };
      const sender = createEngineOrderSender({
        lease: { state: () => held, stop: () => Promise.resolve() },
      });
      const outcome = await sender.readState(engine.address);
      expect(outcome.kind === 'ok' ? 'ok' : outcome.error.kind).toEqual(result);
      await sender.close();
    });
  }
});
