import { createAdaptorServer } from '@hono/node-server';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { Hono } from 'hono';
import { listenOnAddress } from '@rattanreel/connections';
import type { ListenContext, ListenError } from '@rattanreel/connections';
import { ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { CallerEnvironment, CallerListener } from './callers/types';

const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_CONNECTIONS = 8_192;
const HEADERS_TIMEOUT_MS = 10_000;

/** Listens for callers; waits until the address is available. */
export default async function listenForCallers(
  application: Hono<CallerEnvironment>,
  address: string,
  listening: ListenContext,
): Promise<Outcome<CallerListener, ListenError>> {
  const server = createAdaptorServer({
    fetch: application.fetch,
    hostname: address.slice(0, address.lastIndexOf(':')),
    createServer,
    serverOptions: {
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      noDelay: true,
    },
  }) as Server;
  server.maxConnections = MAXIMUM_CONNECTIONS;
  const listened = await listenOnAddress({ ...listening, server, endpoint: 'callers', address });
  if (listened.kind === 'error') {
    return listened;
  }
  return ok({
    address: listened.value.address,
    close: () =>
      new Promise<void>((resolveClosed) => {
        server.close(() => resolveClosed());
        server.closeIdleConnections();
      }),
    forceClose: () => {
      server.close();
      server.closeAllConnections();
    },
  });
}
