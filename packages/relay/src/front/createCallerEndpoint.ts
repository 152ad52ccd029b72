import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  createCallerMemory,
  createIntake,
  createRequestTurns,
  listenOnAddress,
  readBody,
  stopAccepting,
} from '@rattanreel/connections';
import type { BodyResult, CallerMemory, IntakeEnd, RequestTurns } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { CallerLimits } from '../types';
import createCallerExchange from './createCallerExchange';
import sendProblem from './sendProblem';
import type { CallerEndpoint, CallerExchange } from './types';

/** Largest header block that is parsed; larger ones than `headerBytes` are refused. */
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
  /** Returns the time within which all of a request must arrive; unlimited if absent. */
  readonly getTimeLimit?: (incoming: IncomingMessage) => Milliseconds;
  /** Handles a request whose body has not arrived within its time. */
  readonly onLate?: (exchange: CallerExchange, incoming: IncomingMessage) => void;
  /** Handles a request whose body was discarded, since the host has no memory for it. */
  readonly onNoMemory: (exchange: CallerExchange, incoming: IncomingMessage) => void;
  /** Handles a request of which the body has not arrived when the grace period ends. */
  readonly onStopped?: (exchange: CallerExchange, incoming: IncomingMessage) => void;
  /** Called for each request that is closed without a whole response, and how long it was active. */
  readonly onCut?: (incoming: IncomingMessage, activeFor: Milliseconds) => void;
  /** Called with an exception of a handler, which ends its request only. */
  readonly onError?: (error: unknown) => void;
  /** Called when a bound on what callers may hold has ended a connection or a request. */
  readonly onIntakeEnd?: (end: IntakeEnd) => void;
  /** Unlimited if absent. */
  readonly memory?: CallerMemory;
  /** Largest number of connections; unlimited if absent. */
  readonly maximumConnections?: number;
  /** Connections that may wait to be accepted; the system's default if absent. */
  readonly backlog?: number;
}

type ReadRequest = Exclude<BodyResult, { kind: 'cut' }>;

interface ActiveRequest {
  readonly incoming: IncomingMessage;
  readonly arrivedAt: Milliseconds;
  /** Undefined before its turn. */
  readonly exchange?: CallerExchange;
}

/** Whether all of a request has been read, so that the connection can carry another one. */
function isWholeRead(read: ReadRequest): boolean {
  switch (read.kind) {
    case 'whole':
      return true;
    case 'noMemory':
      return read.isComplete;
    case 'tooLarge':
    case 'late':
    case 'stopped':
      return false;
    default:
      return read satisfies never;
  }
}

/** Ends a request whose handler threw: it may have been sent to a backend server. */
function endAfterError(exchange: CallerExchange, outgoing: ServerResponse): void {
  if (outgoing.headersSent) {
    exchange.abort();
  } else {
    sendProblem(exchange, { status: 502, code: 'internalError', execution: 'may-have-run' });
  }
}

/**
 * Creates the HTTP endpoint for callers; a body is read completely before it is handled, and the
 * requests of a connection are handled one after the other.
 */
export default function createCallerEndpoint(options: CallerEndpointOptions): CallerEndpoint {
  const {
    clock,
    getArrivalTime = clock.now,
    getLimits,
    getTimeLimit = () => Infinity,
    memory = createCallerMemory({ clock, bytes: Infinity }),
    maximumConnections = Infinity,
  } = options;
  const intake = createIntake({
    clock,
    memory,
    getMaximumConnections: () => maximumConnections,
    getLimits,
    onEnd: options.onIntakeEnd,
  });
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

  /** Keeps a connection for as long as its `Keep-Alive` header says: by the limit at its arrival. */
  function keepPromisedTime({ socket }: IncomingMessage, outgoing: ServerResponse): void {
    const promised = server.keepAliveTimeout;
    outgoing.once('finish', () => {
      if (server.keepAliveTimeout < promised) {
        socket.setTimeout(promised);
      }
    });
  }

  function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const arrivedAt = getArrivalTime();
    const handledAt = clock.now();
    const reservation = memory.reserve();
    const connection = intake.tryGetConnection(incoming);
    active.set(outgoing, { incoming, arrivedAt });
    keepPromisedTime(incoming, outgoing);
    const turn = getTurns(incoming.socket).add(outgoing, () => {
      active.delete(outgoing);
      answered += isDraining && outgoing.writableFinished ? 1 : 0;
      reservation.release();
    });

    function dispatch(read: ReadRequest, exchange: CallerExchange): void {
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
        case 'late':
          options.onLate?.(exchange, incoming);
          return;
        case 'stopped':
          options.onStopped?.(exchange, incoming);
          return;
        default:
          read satisfies never;
      }
    }

    function respond(read: ReadRequest): void {
      const body = read.kind === 'whole' ? read.body : Buffer.alloc(0);
      const exchange = createCallerExchange({
        incoming,
        outgoing,
        body,
        arrivedAt,
        handledAt,
        tryBuffer: (bytes) => reservation.tryGrow(body.length + bytes),
        onWritten: () => connection?.countUnsent(),
        shouldCloseConnection: () => !isWholeRead(read) || (isDraining && turn.isLast()),
      });
      active.set(outgoing, { incoming, arrivedAt, exchange });
      try {
        dispatch(read, exchange);
      } catch (error) {
        options.onError?.(error);
        endAfterError(exchange, outgoing);
      }
    }

    let isRead = false;
    const stopReading = readBody({
      incoming,
      limit: getLimits().bodyBytes,
      expiresAt: arrivedAt + getTimeLimit(incoming),
      reservation,
      connection,
      onRead(read) {
        isRead = true;
        arriving.delete(outgoing);
        if (read.kind === 'cut') {
          outgoing.destroy();
        } else {
          turn.begin(() => respond(read));
        }
      },
    });
    if (!isRead && !incoming.complete) {
      arriving.set(outgoing, stopReading);
    }
  }

  const server: Server = createServer(
    { maxHeaderSize: MAXIMUM_HEADER_BYTES },
    intake.handle(handle),
  );
  intake.guard(server);
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
        backlog: options.backlog,
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
        options.onCut?.(incoming, clock.now() - arrivedAt);
        exchange?.abort();
      });
      server.close();
      server.closeAllConnections();
    },
  };
}
