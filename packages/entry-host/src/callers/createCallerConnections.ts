import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRequestTurns, readBody } from '@rattanreel/connections';
import type {
  BodyResult,
  CallerMemory,
  Intake,
  RequestTurn,
  RequestTurns,
} from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import createProblem from './createProblem';
import problemTypes from './problemTypes';
import readDeadline from './readDeadline';
import type { Admission } from '../types';
import type { CallerConnections, ProblemDocument } from './types';

const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
/** Time for a body of a request that names no deadline. */
const BODY_TIMEOUT: Milliseconds = 30_000;
/** Time from a stop in which a body that is arriving may be completed. */
const BODY_TIME_AFTER_STOP: Milliseconds = 3_000;
/** Copies that a handler makes of a body: its text, the values in it, and the text that it sends. */
const TEXT_COPIES = 4;
const OVERLOAD_RETRY_AFTER: Milliseconds = 1_000;

interface CallerConnectionsOptions {
  readonly clock: Pick<Clock, 'now' | 'after'>;
  readonly admission: Pick<Admission, 'recordArrival'>;
  readonly memory: CallerMemory;
  readonly intake: Pick<Intake, 'tryGetConnection'>;
  /** Called for each request that is ended without the response of its handler. */
  readonly onCut: (incoming: IncomingMessage, activeFor: Milliseconds) => void;
}

interface RequestParts {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  /** Handles the request once its body has been read. */
  readonly listener: RequestListener;
}

interface ActiveRequest {
  readonly incoming: IncomingMessage;
  readonly arrivedAt: Milliseconds;
  readonly turn: RequestTurn;
  /** Refuses a request of which the body is arriving. */
  stopReading: (() => void) | undefined;
}

function getBodyTimeout({ headers }: IncomingMessage): Milliseconds {
  const deadline = headers['x-deadline-ms'];
  return readDeadline(typeof deadline === 'string' ? deadline : undefined, BODY_TIMEOUT) ?? 0;
}

/** Responds in place of a handler, and closes the connection if a part of the request is unread. */
function sendProblem(outgoing: ServerResponse, problem: ProblemDocument, isRead: boolean): void {
  const { retryAfterSeconds: retryAfter } = problem;
  outgoing.shouldKeepAlive &&= isRead;
  outgoing.writeHead(problem.status, [
    ...['content-type', 'application/problem+json'],
    ...(retryAfter === undefined ? [] : ['retry-after', String(retryAfter)]),
  ]);
  outgoing.end(JSON.stringify(problem));
}

/**
 * Reads the bodies of requests, handles the requests of each connection one after the other, and ends
 * connections at a stop.
 */
export default function createCallerConnections(
  options: CallerConnectionsOptions,
): CallerConnections {
  const { clock, memory, intake } = options;
  const turnsBySocket = new WeakMap<Socket, RequestTurns>();
  const active = new Map<ServerResponse, ActiveRequest>();
  let isDraining = false;
  let answered = 0;

  function getTurns(socket: Socket): RequestTurns {
    const turns = turnsBySocket.get(socket) ?? createRequestTurns(socket);
    turnsBySocket.set(socket, turns);
    return turns;
  }

  /** Lets the last response of a connection tell its caller that the connection closes. */
  function closeAfter(outgoing: ServerResponse, turn: RequestTurn): void {
    if (turn.isLast() && !outgoing.headersSent) {
      outgoing.shouldKeepAlive = false;
    }
  }

  /** Responds for the handler, or breaks off the response that it has begun. */
  function cut(outgoing: ServerResponse, request: ActiveRequest): void {
    const { incoming, arrivedAt, stopReading } = request;
    if (stopReading !== undefined) {
      stopReading();
      return;
    }
    options.onCut(incoming, clock.now() - arrivedAt);
    if (outgoing.headersSent || outgoing.socket === null) {
      outgoing.destroy();
      return;
    }
    sendProblem(outgoing, createProblem(problemTypes.executionInDoubt, 'may-have-run'), false);
  }

  /** Hands a request on whose body was read, and refuses it otherwise. */
  function respond(
    read: Exclude<BodyResult, { kind: 'cut' }>,
    { incoming, outgoing, listener }: RequestParts,
  ): void {
    switch (read.kind) {
      case 'whole':
        memory.recordReceived(read.body.length * TEXT_COPIES);
        // Read in place of the stream by the adapter of the application.
        listener(Object.assign(incoming, { rawBody: read.body }), outgoing);
        return;
      case 'tooLarge':
        sendProblem(outgoing, createProblem(problemTypes.bodyTooLarge, 'not-run'), false);
        return;
      case 'late':
        sendProblem(outgoing, createProblem(problemTypes.bodyLate, 'not-run'), false);
        return;
      case 'stopped':
        sendProblem(outgoing, createProblem(problemTypes.shuttingDown, 'not-run'), false);
        return;
      case 'noMemory': {
        const retryAfter = OVERLOAD_RETRY_AFTER;
        const problem = createProblem(problemTypes.overloaded, 'not-run', { retryAfter });
        sendProblem(outgoing, problem, read.isComplete);
        return;
      }
      default:
        read satisfies never;
    }
  }

  function begin(parts: RequestParts): void {
    const { incoming, outgoing } = parts;
    const reservation = memory.reserve();
    const turn = getTurns(incoming.socket).add(outgoing, () => {
      active.delete(outgoing);
      answered += isDraining && outgoing.writableFinished ? 1 : 0;
      reservation.release();
      // The connection keeps its last request.
      Object.assign(incoming, { rawBody: undefined });
    });
    const arrivedAt = clock.now();
    options.admission.recordArrival(incoming);
    const request: ActiveRequest = { incoming, arrivedAt, turn, stopReading: undefined };
    active.set(outgoing, request);
    let isRead = false;
    const stopReading = readBody({
      incoming,
      limit: MAXIMUM_BODY_BYTES,
      expiresAt: arrivedAt + getBodyTimeout(incoming),
      reservation,
      connection: intake.tryGetConnection(incoming),
      onRead(read) {
        isRead = true;
        request.stopReading = undefined;
        if (read.kind === 'cut') {
          outgoing.destroy();
          return;
        }
        turn.begin(() => {
          if (isDraining) {
            closeAfter(outgoing, turn);
          }
          respond(read, parts);
        });
      },
    });
    request.stopReading = isRead ? undefined : stopReading;
  }

  return {
    takeTurns: (listener) => (incoming, outgoing) => begin({ incoming, outgoing, listener }),
    startDraining() {
      isDraining = true;
      active.forEach(({ turn }, outgoing) => closeAfter(outgoing, turn));
      clock.after(BODY_TIME_AFTER_STOP, () => active.forEach(({ stopReading }) => stopReading?.()));
    },
    getActive: () => [...active.keys()],
    countAnswered: () => answered,
    cutActive: () => active.forEach((request, outgoing) => cut(outgoing, request)),
  };
}
