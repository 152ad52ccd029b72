import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRequestTurns } from '@rattanreel/connections';
import type { RequestTurns } from '@rattanreel/connections';
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
      active.set(outgoing, { incoming, arrivedAt: options.clock.now() });
      const turn = getTurns(incoming.socket).add(outgoing, () => {
        active.delete(outgoing);
        answered += isDraining && outgoing.writableFinished ? 1 : 0;
      });
      turn.begin(() => {
        if (isDraining && turn.isLast()) {
          outgoing.shouldKeepAlive = false;
        }
        listener(incoming, outgoing);
      });
    },
    startDraining() {
      isDraining = true;
    },
    getActive: () => [...active.keys()],
    countAnswered: () => answered,
    cutActive: () => active.forEach((request, outgoing) => cut(outgoing, request)),
  };
}
