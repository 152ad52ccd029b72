import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRequestTurns, listenOnAddress, stopAccepting } from '@rattanreel/connections';
import type { RequestTurns } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { CallerLimits } from '../types';
import createCallerExchange from './createCallerExchange';
import readBody from './readBody';
import createBodyBudget from './createBodyBudget';
import type { BodyBudget, BodyResult, CallerEndpoint, CallerExchange } from './types';

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
  /** Handles a request of which the body has not arrived when the grace period ends. */
  readonly onStopped?: (exchange: CallerExchange, incoming: IncomingMessage) => void;
  /** Called for each request that is closed without a whole response, and how long it was active. */
  readonly onCut?: (incoming: IncomingMessage, activeFor: Milliseconds) => void;
  /** Unlimited if absent. */
  readonly bodyBudget?: Pick<BodyBudget, 'reserve'>;
}

interface ActiveRequest {
  readonly incoming: IncomingMessage;
  readonly arrivedAt: Milliseconds;
  /** Undefined before its turn. */
  readonly exchange?: CallerExchange;
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
  const active = new Map<ServerResponse, ActiveRequest>();
  /** Functions that end the reading of a body, by response. */
  const arriving = new Map<ServerResponse, () => void>();
  let answered = 0;

  function getTurns(socket: Socket): RequestTurns {
    const turns = turnsBySocket.get(socket) ?? createRequestTurns(socket);
    turnsBySocket.set(socket, turns);
    return turns;
  }

  function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const arrivedAt = getArrivalTime();
    const reservation = bodyBudget.reserve();
    active.set(outgoing, { incoming, arrivedAt });
    const turn = getTurns(incoming.socket).add(outgoing, () => {
      active.delete(outgoing);
      answered += isDraining && outgoing.writableFinished ? 1 : 0;
      reservation.release();
    });

    function respond(read: Exclude<BodyResult, { kind: 'cut' }>): void {
      const exchange = createCallerExchange({
        incoming,
        outgoing,
        body: read.kind === 'whole' ? read.body : Buffer.alloc(0),
        arrivedAt,
        shouldCloseConnection: () =>
          read.kind === 'tooLarge' || read.kind === 'stopped' || (isDraining && turn.isLast()),
      });
      active.set(outgoing, { incoming, arrivedAt, exchange });
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
        case 'stopped':
          options.onStopped?.(exchange, incoming);
          return;
        default:
          read satisfies never;
      }
    }

    const stopReading = readBody({
      incoming,
      limit: getLimits().bodyBytes,
      reservation,
      onRead(read) {
        arriving.delete(outgoing);
        if (read.kind === 'cut') {
          outgoing.destroy();
        } else {
          turn.begin(() => respond(read));
        }
      },
    });
    if (!incoming.complete) {
      arriving.set(outgoing, stopReading);
    }
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
    stopAccepting: () => stopAccepting(server, active.keys()),
    countActive: () => active.size,
    countAnswered: () => answered,
    refuseArriving: () => [...arriving.values()].forEach((stopReading) => stopReading()),
    close() {
      active.forEach(({ incoming, arrivedAt, exchange }) => {
        options.onCut?.(incoming, options.clock.now() - arrivedAt);
        exchange?.abort();
      });
      server.close();
      server.closeAllConnections();
    },
  };
}
