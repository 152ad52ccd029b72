import { createServer } from 'node:http';
import { getHeapStatistics } from 'node:v8';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRequestTurns, listenOnAddress, stopAccepting } from '@rattanreel/connections';
import type { RequestTurns } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { CallerLimits } from '../types';
import createCallerExchange from './createCallerExchange';
import readBody from './readBody';
import sendProblem from './sendProblem';
import createBodyBudget from './createBodyBudget';
import createHeadBudget from './createHeadBudget';
import type { BodyBudget, BodyResult, CallerEndpoint, CallerExchange } from './types';

/** Largest header block that is read; the `headerBytes` of the configuration is not applied. */
const MAXIMUM_HEADER_BYTES = 65_536;
/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1_024;
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
  /** Handles a request of which the body has not arrived when the grace period ends. */
  readonly onStopped?: (exchange: CallerExchange, incoming: IncomingMessage) => void;
  /** Called for each request that is closed without a whole response, and how long it was active. */
  readonly onCut?: (incoming: IncomingMessage, activeFor: Milliseconds) => void;
  /** Called with an exception of a handler, which ends its request only. */
  readonly onError?: (error: unknown) => void;
  /** Unlimited if absent. */
  readonly bodyBudget?: Pick<BodyBudget, 'reserve'>;
}

type ReadRequest = Exclude<BodyResult, { kind: 'cut' }>;

interface ActiveRequest {
  readonly incoming: IncomingMessage;
  readonly arrivedAt: Milliseconds;
  /** Undefined before its turn. */
  readonly exchange?: CallerExchange;
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

  function scheduleHeadCheck(): void {
    if (headTimer === undefined && headBudget.canExceed()) {
      headTimer = setTimeout(() => {
        headTimer = undefined;
        headBudget.enforce();
        scheduleHeadCheck();
      }, HEAD_CHECK_INTERVAL_MS).unref();
    }
  }

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

  const headBytes = getHeapStatistics().heap_size_limit * HEAD_HEAP_SHARE;
  const headBudget = createHeadBudget({ bytes: headBytes, headBytes: MAXIMUM_HEADER_BYTES });
  let headTimer: NodeJS.Timeout | undefined;

  function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const arrivedAt = getArrivalTime();
    const handledAt = options.clock.now();
    const reservation = bodyBudget.reserve();
    active.set(outgoing, { incoming, arrivedAt });
    headBudget.recordHead(incoming.socket);
    keepPromisedTime(incoming, outgoing);
    const turn = getTurns(incoming.socket).add(outgoing, () => {
      active.delete(outgoing);
      answered += isDraining && outgoing.writableFinished ? 1 : 0;
      if (turn.isLast()) {
        headBudget.recordEnd(incoming.socket);
      }
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
        case 'stopped':
          options.onStopped?.(exchange, incoming);
          return;
        default:
          read satisfies never;
      }
    }

    function respond(read: ReadRequest): void {
      const exchange = createCallerExchange({
        incoming,
        outgoing,
        body: read.kind === 'whole' ? read.body : Buffer.alloc(0),
        arrivedAt,
        handledAt,
        shouldCloseConnection: () =>
          read.kind === 'tooLarge' || read.kind === 'stopped' || (isDraining && turn.isLast()),
      });
      active.set(outgoing, { incoming, arrivedAt, exchange });
      try {
        dispatch(read, exchange);
      } catch (error) {
        options.onError?.(error);
        endAfterError(exchange, outgoing);
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
  server.on('connection', (socket: Socket) => {
    headBudget.add(socket);
    scheduleHeadCheck();
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
      clearTimeout(headTimer);
      server.close();
      server.closeAllConnections();
    },
  };
}
