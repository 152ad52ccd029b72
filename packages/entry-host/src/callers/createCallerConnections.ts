import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRequestTurns } from '@rattanreel/connections';
import type { RequestTurn, RequestTurns } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import createProblem from './createProblem';
import problemTypes from './problemTypes';
import type { CallerConnections } from './types';

interface CallerConnectionsOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Called for each request that is ended without the response of its handler. */
  readonly onCut: (incoming: IncomingMessage, activeFor: Milliseconds) => void;
}

interface ActiveRequest {
  readonly incoming: IncomingMessage;
  readonly arrivedAt: Milliseconds;
  readonly turn: RequestTurn;
}

/** Handles the requests of each connection one after the other, and ends connections at a stop. */
export default function createCallerConnections(
  options: CallerConnectionsOptions,
): CallerConnections {
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
  function cut(outgoing: ServerResponse, { incoming, arrivedAt }: ActiveRequest): void {
    options.onCut(incoming, options.clock.now() - arrivedAt);
    if (outgoing.headersSent || outgoing.socket === null) {
      outgoing.destroy();
      return;
    }
    const problem = createProblem(problemTypes.executionInDoubt, 'may-have-run');
    outgoing.shouldKeepAlive = false;
    outgoing.writeHead(problem.status, { 'content-type': 'application/problem+json' });
    outgoing.end(JSON.stringify(problem));
  }

  return {
    takeTurns: (listener) => (incoming, outgoing) => {
      const turn = getTurns(incoming.socket).add(outgoing, () => {
        active.delete(outgoing);
        answered += isDraining && outgoing.writableFinished ? 1 : 0;
      });
      active.set(outgoing, { incoming, arrivedAt: options.clock.now(), turn });
      turn.begin(() => {
        if (isDraining) {
          closeAfter(outgoing, turn);
        }
        listener(incoming, outgoing);
      });
    },
    startDraining() {
      isDraining = true;
      active.forEach(({ turn }, outgoing) => closeAfter(outgoing, turn));
    },
    getActive: () => [...active.keys()],
    countAnswered: () => answered,
    cutActive: () => active.forEach((request, outgoing) => cut(outgoing, request)),
  };
}
