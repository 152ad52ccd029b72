import { createServer } from 'node:http';
import { getHeapStatistics } from 'node:v8';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { CallerLimits } from '../types';
import splitAddress from '../splitAddress';
import createCallerExchange from './createCallerExchange';
import readBody from './readBody';
import createBodyBudget from './createBodyBudget';
import createHeadBudget from './createHeadBudget';
import type { BodyBudget, CallerExchange, CallerEndpoint } from './types';

/** Largest header block that is read; the `headerBytes` of the configuration is not applied. */
const MAXIMUM_HEADER_BYTES = 65_536;
/** Share of the heap for heads that are not complete; the heads of sound callers are in one packet. */
const HEAD_HEAP_SHARE = 1 / 6;
const HEAD_CHECK_INTERVAL_MS = 100;

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
  const headBytes = getHeapStatistics().heap_size_limit * HEAD_HEAP_SHARE;
  const headBudget = createHeadBudget({ bytes: headBytes, headBytes: MAXIMUM_HEADER_BYTES });
  const headTimer = setInterval(headBudget.enforce, HEAD_CHECK_INTERVAL_MS).unref();

  function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const arrivedAt = getArrivalTime();
    const reservation = bodyBudget.reserve();
    active += 1;
    headBudget.recordHead(incoming.socket);
    outgoing.once('close', () => {
      active -= 1;
      headBudget.recordEnd(incoming.socket);
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
  server.on('connection', (socket: Socket) => {
    headBudget.add(socket);
    options.onConnection?.();
  });
  server.requestTimeout = 0;
  server.timeout = 0;

  function applyLimits(): void {
    const limits = getLimits();
    server.headersTimeout = limits.headerTimeout;
    server.keepAliveTimeout = limits.idleTimeout;
  }

  return {
    listen: (address) =>
      new Promise((resolve, reject) => {
        applyLimits();
        server.once('error', reject);
        server.listen({ ...splitAddress(address), backlog: 1_024 }, () => resolve());
      }),
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
      clearInterval(headTimer);
      server.close();
      server.closeAllConnections();
    },
  };
}
