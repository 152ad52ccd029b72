import type { Clock, Milliseconds } from '@rattanreel/core';
import createHttpClient from './createHttpClient';
import openHttpWatch from './openHttpWatch';
import parseReply from './parseReply';
import type { HttpCall, StoreCall, StoreTransport, Watch } from './types';

const RETRY_AFTER: Milliseconds = 200;

interface HttpTransportOptions {
  readonly url: string;
  readonly clock: Clock;
}

function getObjectPath(call: { readonly objectKind: string; readonly name: string }): string {
  return `/objects/${encodeURIComponent(call.objectKind)}/${encodeURIComponent(call.name)}`;
}

function toHttpCall(call: StoreCall): HttpCall {
  switch (call.kind) {
    case 'get':
      return { method: 'GET', path: getObjectPath(call) };
    case 'list': {
      const kind = encodeURIComponent(call.objectKind);
      const prefix = encodeURIComponent(call.prefix);
      const path = `/objects/${kind}?prefix=${prefix}`;
      return { method: 'GET', path };
    }
    case 'create': {
      const headers = { 'if-none-match': '*' };
      return {
        method: 'PUT',
        path: getObjectPath(call),
        headers,
        body: JSON.stringify(call.value),
      };
    }
    case 'update': {
      const headers = { 'if-match': `"${call.version}"` };
      return {
        method: 'PUT',
        path: `${getObjectPath(call)}${call.part === 'status' ? '/status' : ''}`,
        headers,
        body: JSON.stringify(call.value),
      };
    }
    case 'remove': {
      const headers = { 'if-match': `"${call.version}"` };
      return { method: 'DELETE', path: getObjectPath(call), headers };
    }
    case 'listHosts':
      return { method: 'GET', path: '/hosts' };
    default:
      return call satisfies never;
  }
}

/**
 * Creates a transport over HTTP/1.1 connections, which carry one call at a time each. It never
 * sends a call twice.
 */
export default function createHttpTransport(options: HttpTransportOptions): StoreTransport {
  const { url, clock } = options;
  const client = createHttpClient({ url, clock });
  const watches = new Set<Watch>();

  return {
    async call(call, timeout) {
      const reply = await client.send(toHttpCall(call), timeout);
      switch (reply.kind) {
        case 'answered':
          return parseReply({ call, ...reply });
        case 'notSent':
          return { kind: 'refused', reason: 'notSent', retryAfter: RETRY_AFTER };
        case 'lost':
          return reply;
        default:
          return reply satisfies never;
      }
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
      await client.close();
    },
  };
}
