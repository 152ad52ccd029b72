import { serve } from '@hono/node-server';
import { createServer } from 'node:http';
import type { RequestListener, Server, ServerOptions } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Hono } from 'hono';
import { stopAccepting } from '@rattanreel/connections';
import { fail, ok } from '@rattanreel/core';
import type { Clock, Outcome } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import { sleep } from '@rattanreel/platform';
import createCallerConnections from './callers/createCallerConnections';
import type { CallerEnvironment, CallerListener } from './callers/types';
import type { EntryHostError } from './types';

const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_CONNECTIONS = 8_192;
const HEADERS_TIMEOUT_MS = 10_000;
const DRAIN_CHECK_INTERVAL_MS = 50;

function parseAddress(address: string): { hostname: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { hostname: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Listens for callers; every failure to listen is reported as `addressInUse`. */
export default function listenForCallers(
  application: Hono<CallerEnvironment>,
  address: string,
  { clock, logger }: { readonly clock: Clock; readonly logger: Logger },
): Promise<Outcome<CallerListener, EntryHostError>> {
  const { hostname, port } = parseAddress(address);
  const connections = createCallerConnections({
    clock,
    onCut({ method, url: target, headers }, activeFor) {
      const key = headers['idempotency-key'];
      logger.warn({ method, target, key, activeFor: Math.round(activeFor) }, 'request cut by stop');
    },
  });
  return new Promise((resolve) => {
    const server = serve(
      {
        fetch: application.fetch,
        hostname,
        port,
        createServer: ((serverOptions: ServerOptions, listener: RequestListener) =>
          createServer(serverOptions, connections.takeTurns(listener))) as typeof createServer,
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
            startDraining: connections.startDraining,
            countActive: () => connections.getActive().length,
            countAnswered: connections.countAnswered,
            async drain(duration) {
              const endsAt = clock.now() + duration;
              stopAccepting(server, connections.getActive());
              while (connections.getActive().length > 0 && clock.now() < endsAt) {
                await sleep(clock, DRAIN_CHECK_INTERVAL_MS);
                stopAccepting(server, connections.getActive());
              }
            },
            cutActive: connections.cutActive,
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
