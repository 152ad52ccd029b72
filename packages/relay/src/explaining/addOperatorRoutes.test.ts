import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import createMetricsEndpoint from '../createMetricsEndpoint';
import type { OperatorAccess, RequestExplanation, RequestQuery } from './types';

const TOKEN = 'a-token-of-this-test';
const QUERY: RequestQuery = { hostName: 'models.example', target: '/chat/one' };
const EXPLANATION: RequestExplanation = {
  kind: 'rejected',
  host: 'edge-1',
  failureDomain: 'a',
  basis: {
    configurationVersion: 1,
    serversVersion: 1,
    evacuatedVersion: 0,
    rosterVersion: 1,
    hosts: 0,
    oldest: 0,
  },
  status: 404,
  code: 'unknownRoute',
};

interface Case {
  readonly name: string;
  readonly isConfigured: boolean;
  readonly authorization?: string;
  readonly body?: unknown;
  readonly expected: number;
}

const CASES: readonly Case[] = [
  { name: 'the right token', isConfigured: true, authorization: `Bearer ${TOKEN}`, expected: 200 },
  { name: 'a wrong token', isConfigured: true, authorization: `Bearer ${TOKEN}x`, expected: 401 },
  { name: 'no token', isConfigured: true, expected: 401 },
  {
    name: 'no token configured',
    isConfigured: false,
    authorization: `Bearer ${TOKEN}`,
    expected: 404,
  },
  {
    name: 'a malformed query',
    isConfigured: true,
    authorization: `Bearer ${TOKEN}`,
    body: { target: 7 },
    expected: 400,
  },
];

describe('operators’ queries over HTTP', () => {
  CASES.forEach(({ name, isConfigured, authorization, body = QUERY, expected }) => {
    it(`answers ${expected} to ${name}; guards against queries by others`, async () => {
      const received: RequestQuery[] = [];
      const operatorAccess: OperatorAccess = {
        token: TOKEN,
        explain(query) {
          received.push(query);
          return EXPLANATION;
        },
      };
      const endpoint = createMetricsEndpoint({
        address: '127.0.0.1:0',
        scrape: async () => 'figures',
        operatorAccess: isConfigured ? operatorAccess : undefined,
      });
      try {
        await once(endpoint, 'listening');
        const url = `http://127.0.0.1:${(endpoint.address() as AddressInfo).port}`;
        const response = await request(`${url}/operator/v1/explain-request`, {
          method: 'POST',
          headers: authorization === undefined ? {} : { authorization },
          body: JSON.stringify(body),
        });
        const text = await response.body.text();
        expect(response.statusCode).toEqual(expected);
        expect(received).toEqual(expected === 200 ? [QUERY] : []);
        expect(expected === 200 ? JSON.parse(text) : EXPLANATION).toEqual(EXPLANATION);
        const metrics = await request(`${url}/metrics`);
        expect(await metrics.body.text()).toEqual('figures');
      } finally {
        endpoint.close();
      }
    });
  });
});
