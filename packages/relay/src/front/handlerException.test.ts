import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { createSystemClock } from '@rattanreel/core';
import findFreePort from '../testing/findFreePort';
import createCallerEndpoint from './createCallerEndpoint';
import type { CallerEndpoint, CallerExchange } from './types';

const LIMITS = { headerBytes: 16_384, bodyBytes: 64, headerTimeout: 3_000, idleTimeout: 9_000 };

const cases = [
  {
    name: 'answers that the request may have run, before its response has begun',
    handle: (): void => undefined,
    outcome: 'internalError 502 may-have-run',
  },
  {
    name: 'breaks the response off, after it has begun',
    handle: (exchange: CallerExchange): void => {
      exchange.sendHead(200, []);
      exchange.sendData(Buffer.from('part'));
    },
    outcome: 'broken off',
  },
];

describe('an exception in the handler of a request', () => {
  let endpoint: CallerEndpoint;

  afterEach(() => endpoint.close());

  cases.forEach(({ name, handle, outcome }) => {
    // Guards against a request that gets no response, and stays active until the host ends.
    it(name, async () => {
      const errors: unknown[] = [];
      const port = await findFreePort();
      endpoint = createCallerEndpoint({
        clock: createSystemClock(),
        getLimits: () => LIMITS,
        onRequest(exchange) {
          handle(exchange);
          throw new Error('handler');
        },
        onTooLarge: () => undefined,
        onNoMemory: () => undefined,
        onError: (error) => errors.push(error),
      });
      await endpoint.listen(`127.0.0.1:${port}`);
      const seen = await request(`http://127.0.0.1:${port}/x`)
        .then(({ body }) => body.text())
        .then(
          (text) => Object.values(JSON.parse(text) as object).join(' '),
          () => 'broken off',
        );
      expect([seen, errors.length, endpoint.countActive()]).toEqual([outcome, 1, 0]);
    });
  });
});
