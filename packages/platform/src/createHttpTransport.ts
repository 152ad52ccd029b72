import { Pool } from 'undici';
import type { Clock, Milliseconds } from '@rattanreel/core';
import openHttpWatch from './openHttpWatch';
import parseReply from './parseReply';
import type { StoreCall, StoreReply, StoreTransport, Watch } from './types';

/** Failures of the connection attempt, before any byte of a request was written. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const CONNECTIONS = 16;
const CONNECT_TIMEOUT: Milliseconds = 800;
const IDLE_TIMEOUT: Milliseconds = 20_000;
const RETRY_AFTER: Milliseconds = 200;

interface HttpTransportOptions {
  readonly url: string;
  readonly clock: Clock;
}

interface HttpCall {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
}

function getObjectPath(call: { readonly objectKind: string; readonly name: string }): string {
  return `/objects/${encodeURIComponent(call.objectKind)}/${encodeURIComponent(call.name)}`;
}

function toHttpCall(call: StoreCall): HttpCall {
  const json = { 'content-type': 'application/json' };
  switch (call.kind) {
    case 'get':
      return { method: 'GET', path: getObjectPath(call), headers: {}, body: undefined };
    case 'list': {
      const kind = encodeURIComponent(call.objectKind);
      const prefix = encodeURIComponent(call.prefix);
      const path = `/objects/${kind}?prefix=${prefix}`;
      return { method: 'GET', path, headers: {}, body: undefined };
    }
    case 'create': {
      const headers = { ...json, 'if-none-match': '*' };
      return {
        method: 'PUT',
        path: getObjectPath(call),
        headers,
        body: JSON.stringify(call.value),
      };
    }
    case 'update': {
      const headers = { ...json, 'if-match': `"${call.version}"` };
      return {
        method: 'PUT',
        path: getObjectPath(call),
        headers,
        body: JSON.stringify(call.value),
      };
    }
    case 'remove': {
      const headers = { 'if-match': `"${call.version}"` };
      return { method: 'DELETE', path: getObjectPath(call), headers, body: undefined };
    }
    case 'listHosts':
      return { method: 'GET', path: '/hosts', headers: {}, body: undefined };
    default:
      return call satisfies never;
  }
}

function getErrorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/** Carries calls over HTTP/1.1 connections, one call at a time on each, none ever sent twice. */
export default function createHttpTransport(options: HttpTransportOptions): StoreTransport {
  const { url, clock } = options;
  let pool = openPool();
  const retired = new Set<Pool>();
  const watches = new Set<Watch>();

  function openPool(): Pool {
    return new Pool(url, {
      connections: CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT },
      keepAliveTimeout: IDLE_TIMEOUT,
    });
  }

  /** Leaves connections that may all have gone silent; calls still waiting on them run out by themselves. */
  function retire(used: Pool): void {
    if (used !== pool) {
      return;
    }
    pool = openPool();
    retired.add(used);
    used
      .close()
      .catch(() => undefined)
      .finally(() => retired.delete(used));
  }

  async function send(used: Pool, call: StoreCall, signal: AbortSignal): Promise<StoreReply> {
    const request = toHttpCall(call);
    try {
      const response = await used.request({ ...request, signal });
      const text = await response.body.text();
      return parseReply({ call, status: response.statusCode, headers: response.headers, text });
    } catch (error) {
      return NOT_SENT_CODES.has(getErrorCode(error))
        ? { kind: 'refused', reason: 'notSent', retryAfter: RETRY_AFTER }
        : { kind: 'lost' };
    }
  }

  return {
    async call(call, timeout) {
      const abort = new AbortController();
      const used = pool;
      const timer = clock.after(timeout, () => {
        abort.abort();
        retire(used);
      });
      const reply = await send(used, call, abort.signal);
      timer.cancel();
      return reply;
    },
    openWatch(request, listener) {
      const watch = openHttpWatch({ url, request, listener });
      watches.add(watch);
      return {
        close() {
          watches.delete(watch);
          watch.close();
        },
      };
    },
    async close() {
      watches.forEach((watch) => watch.close());
      watches.clear();
      await Promise.all([pool, ...retired].map((each) => each.destroy()));
    },
  };
}
