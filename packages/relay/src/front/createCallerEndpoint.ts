import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { listenOnAddress } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { CallerLimits } from '../types';
import createCallerExchange from './createCallerExchange';
import readBody from './readBody';
import createBodyBudget from './createBodyBudget';
import type { BodyBudget, CallerExchange, CallerEndpoint } from './types';

/** Largest header block that is read; the `headerBytes` of the configuration is not applied. */
const MAXIMUM_HEADER_BYTES = 65_536;
/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1_024;

interface CallerEndpointOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Returns the estimated time at which the bytes that are handled now arrived. */
  readonly getArrivalTime?: () => Milliseconds;
  readonly onConnection?: () => void;
  readonly getLimits: () => CallerLimits;
  /** Handles a request whose body is complete. */
  readonly onRequest: (exchange: CallerExchange, incoming: IncomingMessage) => void;
  readonly onTooLarge: (exchange: CallerExchange) => void;
  /** Handles a request whose body was discarded, since the host has no memory for it. */
  readonly onNoMemory: (exchange: CallerExchange, incoming: IncomingMessage) => void;
  /** Unlimited if absent. */
  readonly bodyBudget?: Pick<BodyBudget, 'reserve'>;
}

/** Creates the HTTP endpoint for callers; a body is read completely before it is handled. */
export default function createCallerEndpoint(options: CallerEndpointOptions): CallerEndpoint {
  const {
    getArrivalTime = options.clock.now,
    getLimits,
    bodyBudget = createBodyBudget({ bytes: Infinity }),
  } = options;
  let isDraining = false;
  let active = 0;

  function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const arrivedAt = getArrivalTime();
    const reservation = bodyBudget.reserve();
    active += 1;
    outgoing.once('close', () => {
      active -= 1;
      reservation.release();
    });
    readBody({
      incoming,
      limit: getLimits().bodyBytes,
      reservation,
      onRead(read) {
        const exchange = createCallerExchange({
          incoming,
          outgoing,
          body: read.kind === 'whole' ? read.body : Buffer.alloc(0),
          arrivedAt,
          shouldCloseConnection: () => isDraining || read.kind === 'tooLarge',
        });
        switch (read.kind) {
          case 'whole':
            options.onRequest(exchange, incoming);
            return;
          case 'tooLarge':
            options.onTooLarge(exchange);
            return;
          case 'noMemory':
            options.onNoMemory(exchange, incoming);
            return;
          case 'cut':
            outgoing.destroy();
            return;
          default:
            read satisfies never;
        }
      },
    });
  }

  const server: Server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, handle);
  server.on('connection', () => options.onConnection?.());
  server.requestTimeout = 0;
  server.timeout = 0;

  function applyLimits(): void {
    const limits = getLimits();
    server.headersTimeout = limits.headerTimeout;
    server.keepAliveTimeout = limits.idleTimeout;
  }

  return {
    listen(address, listening = {}) {
      applyLimits();
      return listenOnAddress({
        ...listening,
        server,
        endpoint: 'callers',
        address,
        backlog: LISTEN_BACKLOG,
      });
    },
    applyLimits,
    startDraining() {
      isDraining = true;
    },
    stopAccepting() {
      if (server.listening) {
        server.close();
      }
      server.closeIdleConnections();
    },
    countActive: () => active,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
