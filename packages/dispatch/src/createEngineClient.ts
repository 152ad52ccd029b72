import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { createTrackedConnector, guardResponses } from '@rattanreel/connections';
import { fail, ok } from '@rattanreel/core';
import type { Milliseconds, Outcome } from '@rattanreel/core';
import readStreamEvents from './readStreamEvents';
import toBackendServerError from './toBackendServerError';
import type {
  BackendServerError,
  CacheEvent,
  EngineClient,
  LoadResponse,
  StreamBatches,
} from './types';

const CONNECT_TIMEOUT_MS = 1_000;
const CONTROL_CALL_TIMEOUT_MS = 1_000;

/** Creates a client of model engines; each keep-alive connection carries one request at a time. */
export default function createEngineClient(): EngineClient {
  const connector = createTrackedConnector({ timeout: CONNECT_TIMEOUT_MS });
  const agent = new Agent({
    // One request per connection, so that a broken connection affects that request only.
    pipelining: 1,
    connect: connector.connect,
  }).compose(guardResponses(connector));

  async function requestStream(
    address: string,
    request: Omit<Dispatcher.RequestOptions, 'origin'>,
    tokensBefore: number,
  ): Promise<Outcome<StreamBatches, BackendServerError>> {
    try {
      const response = await agent.request({ ...request, origin: address });
      if (response.statusCode === 200) {
        return ok(readStreamEvents(response.body, tokensBefore));
      }
      const detail = await response.body.text();
      return fail(
        response.statusCode === 404
          ? { kind: 'streamUnknown' }
          : { kind: 'rejected', status: response.statusCode, detail },
      );
    } catch (error) {
      return fail(toBackendServerError(error));
    }
  }

  async function fetchJson<Body>(
    address: string,
    path: string,
  ): Promise<Outcome<Body, BackendServerError>> {
    try {
      const response = await agent.request({
        origin: address,
        path,
        method: 'GET',
        ...toRequestTimeouts(CONTROL_CALL_TIMEOUT_MS),
      });
      if (response.statusCode !== 200) {
        const detail = await response.body.text();
        return fail({ kind: 'rejected', status: response.statusCode, detail });
      }
      return ok((await response.body.json()) as Body);
    } catch (error) {
      return fail(toBackendServerError(error));
    }
  }

  return {
    openStream: (options) =>
      requestStream(
        options.address,
        {
          path: '/v1/chat/completions',
          method: 'POST',
          headers: { 'content-type': 'application/json', 'x-request-id': options.request },
          body: options.body,
          headersTimeout: options.headersTimeout,
          bodyTimeout: options.idleTimeout,
          signal: options.signal,
        },
        0,
      ),
    resumeStream: (options) =>
      requestStream(
        options.address,
        {
          path: `/v1/streams/${options.request}?after=${options.afterTokens}`,
          method: 'GET',
          // Keeps the connection out of the pool afterwards: pooled ones may be unresponsive.
          reset: true,
          headersTimeout: options.headersTimeout,
          bodyTimeout: options.idleTimeout,
          signal: options.signal,
        },
        options.afterTokens,
      ),
    async cancelStream(address, request) {
      try {
        const response = await agent.request({
          origin: address,
          path: `/v1/streams/${request}`,
          method: 'DELETE',
          ...toRequestTimeouts(CONTROL_CALL_TIMEOUT_MS),
        });
        await response.body.dump();
      } catch {
        // The engine cannot be reached; its stream ended with it.
      }
    },
    fetchLoad: (address) => fetchJson<LoadResponse>(address, '/load'),
    async fetchCacheEvents(address, after) {
      const response = await fetchJson<{ readonly events: readonly CacheEvent[] }>(
        address,
        `/cache-events?after=${after}`,
      );
      return response.kind === 'ok' ? ok(response.value.events) : response;
    },
    close: () => agent.destroy(),
  };
}

function toRequestTimeouts(timeout: Milliseconds): { headersTimeout: number; bodyTimeout: number } {
  return { headersTimeout: timeout, bodyTimeout: timeout };
}
