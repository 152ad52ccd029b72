import { serve } from '@hono/node-server';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Hono } from 'hono';
import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { CallerEnvironment, CallerListener } from './callers/types';
import type { EntryHostError } from './types';

const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_CONNECTIONS = 8_192;
const HEADERS_TIMEOUT_MS = 10_000;
/** Time in which callers may take the end of their responses after the last request has ended. */
const CLOSE_TIMEOUT_MS = 2_000;

function parseAddress(address: string): { hostname: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { hostname: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Listens for callers; every failure to listen is reported as `addressInUse`. */
export default function listenForCallers(
  application: Hono<CallerEnvironment>,
  address: string,
): Promise<Outcome<CallerListener, EntryHostError>> {
  const { hostname, port } = parseAddress(address);
  return new Promise((resolve) => {
    const server = serve(
      {
        fetch: application.fetch,
        hostname,
        port,
        createServer,
        serverOptions: {
          maxHeaderSize: MAXIMUM_HEADER_BYTES,
          headersTimeout: HEADERS_TIMEOUT_MS,
          noDelay: true,
        },
      },
      (info: AddressInfo) => {
        resolve(
          ok({
            address: `${hostname}:${info.port}`,
            close: () =>
              new Promise<void>((resolveClosed) => {
                // A connection whose first request is not complete is not idle.
                const timer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS);
                server.close(() => {
                  clearTimeout(timer);
                  resolveClosed();
                });
                server.closeIdleConnections();
              }),
            forceClose: () => {
              server.close();
              server.closeAllConnections();
            },
          }),
        );
      },
    ) as Server;
    server.maxConnections = MAXIMUM_CONNECTIONS;
    server.once('error', () => resolve(fail({ kind: 'addressInUse', address })));
  });
}
