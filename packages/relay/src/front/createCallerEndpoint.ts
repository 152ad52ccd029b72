import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { stopAccepting } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { CallerLimits } from '../types';
import splitAddress from '../splitAddress';
import createCallerExchange from './createCallerExchange';
import createRequestTurns from './createRequestTurns';
import readBody from './readBody';
import createBodyBudget from './createBodyBudget';
import type { BodyBudget, BodyResult, CallerEndpoint, CallerExchange, RequestTurns } from './types';

/** Largest header block that is read; the `headerBytes` of the configuration is not applied. */
const MAXIMUM_HEADER_BYTES = 65_536;

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

/**
 * Creates the HTTP endpoint for callers; a body is read completely before it is handled, and the
 * requests of a connection are handled one after the other.
 */
export default function createCallerEndpoint(options: CallerEndpointOptions): CallerEndpoint {
  const {
    getArrivalTime = options.clock.now,
    getLimits,
    bodyBudget = createBodyBudget({ bytes: Infinity }),
  } = options;
  const turnsBySocket = new WeakMap<Socket, RequestTurns>();
  let isDraining = false;
  const active = new Set<ServerResponse>();

  function getTurns(socket: Socket): RequestTurns {
    const turns = turnsBySocket.get(socket) ?? createRequestTurns(socket);
    turnsBySocket.set(socket, turns);
    return turns;
  }

  function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const arrivedAt = getArrivalTime();
    const reservation = bodyBudget.reserve();
    active.add(outgoing);
    const turn = getTurns(incoming.socket).add(outgoing, () => {
      active.delete(outgoing);
      reservation.release();
    });

    function respond(read: Exclude<BodyResult, { kind: 'cut' }>): void {
      const exchange = createCallerExchange({
        incoming,
        outgoing,
        body: read.kind === 'whole' ? read.body : Buffer.alloc(0),
        arrivedAt,
        shouldCloseConnection: () => read.kind === 'tooLarge' || (isDraining && turn.isLast()),
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
        default:
          read satisfies never;
      }
    }

    readBody({
      incoming,
      limit: getLimits().bodyBytes,
      reservation,
      onRead(read) {
        if (read.kind === 'cut') {
          outgoing.destroy();
        } else {
          turn.begin(() => respond(read));
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
    stopAccepting: () => stopAccepting(server, active),
    countActive: () => active.size,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
