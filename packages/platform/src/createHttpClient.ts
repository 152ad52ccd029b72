import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { createTrackedConnector, guardResponses } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { HttpCall, HttpClient, HttpReply } from './types';

/** Error codes of failed connection attempts, before any byte of a request was written. */
const CONNECTION_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const MAXIMUM_CONNECTIONS = 16;
const CONNECT_TIMEOUT: Milliseconds = 800;
const IDLE_TIMEOUT: Milliseconds = 20_000;

interface HttpClientOptions {
  readonly url: string;
  readonly clock: Clock;
}

function getErrorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/**
 * Creates a client that makes calls over HTTP/1.1 connections, one call at a time on each, and
 * never sends a call twice.
 */
export default function createHttpClient(options: HttpClientOptions): HttpClient {
  const { url, clock } = options;
  const connector = createTrackedConnector({ timeout: CONNECT_TIMEOUT });
  let pool = openPool();
  const retired = new Set<Dispatcher>();

  function openPool(): Dispatcher {
    return new Pool(url, {
      connections: MAXIMUM_CONNECTIONS,
      pipelining: 1,
      connect: connector.connect,
      keepAliveTimeout: IDLE_TIMEOUT,
    }).compose(guardResponses(connector));
  }

  /**
   * Replaces a pool whose connections may all be dead. Calls still waiting on them end by their own
   * timeouts.
   */
  function retirePool(usedPool: Dispatcher): void {
    if (usedPool !== pool) {
      return;
    }
    pool = openPool();
    retired.add(usedPool);
    usedPool
      .close()
      .catch(() => undefined)
      .finally(() => retired.delete(usedPool));
  }

  async function sendRequest(
    usedPool: Dispatcher,
    call: HttpCall,
    signal: AbortSignal,
  ): Promise<HttpReply> {
    try {
      const json = call.body === undefined ? {} : { 'content-type': 'application/json' };
      const headers = { ...json, ...call.headers };
      const { method, path, body } = call;
      const response = await usedPool.request({ method, path, body, headers, signal });
      const text = await response.body.text();
      return { kind: 'answered', status: response.statusCode, headers: response.headers, text };
    } catch (error) {
      return { kind: CONNECTION_ERROR_CODES.has(getErrorCode(error)) ? 'notSent' : 'lost' };
    }
  }

  return {
    async send(call, timeout) {
      const abort = new AbortController();
      const usedPool = pool;
      const timer = clock.after(timeout, () => {
        abort.abort();
        retirePool(usedPool);
      });
      const reply = await sendRequest(usedPool, call, abort.signal);
      timer.cancel();
      return reply;
    },
    async close() {
      await Promise.all([pool, ...retired].map((each) => each.destroy()));
    },
  };
}
