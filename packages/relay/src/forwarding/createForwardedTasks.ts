import type { CallerMemory } from '@rattanreel/connections';
import type { Milliseconds } from '@rattanreel/core';
import type { Attempt, ServerConnections } from '../servers/types';
import type { ListedServer } from '../types';
import tryGetServerDefect from '../decisions/tryGetServerDefect';
import type { ForwardReporter, ForwardTask, ForwardedTasks } from './types';

interface ForwardedTasksOptions {
  /** This host's own links; a task is never forwarded again. */
  readonly direct: Pick<ServerConnections, 'send' | 'checkListening'>;
  /** Whether this host accepts tasks for a server. */
  readonly canServe: (server: ListedServer) => boolean;
  /** Returns the estimated time at which the message that is handled now arrived. */
  readonly getArrivalTime: () => Milliseconds;
  /** Begins a reservation for the body of a request; not limited if absent. */
  readonly reserveBody?: CallerMemory['reserve'] | undefined;
}

/** Performs attempts and checks that peers cannot make themselves. */
export default function createForwardedTasks(options: ForwardedTasksOptions): ForwardedTasks {
  const { direct } = options;
  let active = 0;

  /** Ends a task of which nothing has been sent, so that the peer may ask another host. */
  function refuse(reporter: ForwardReporter): () => void {
    reporter.report({ kind: 'end', outcome: { kind: 'notConnected' } });
    reporter.end();
    return () => undefined;
  }

  function beginAttempt(
    { server, request, deadline }: Extract<ForwardTask, { kind: 'attempt' }>,
    reporter: ForwardReporter,
  ): () => void {
    let attempt: Attempt | undefined;
    let isEnded = false;
    const deadlineAt = options.getArrivalTime() + (deadline?.timeLeft ?? Infinity);
    const reservation = options.reserveBody?.();
    if (reservation?.tryGrow(request.body.length) === false) {
      return refuse(reporter);
    }
    active += 1;
    reporter.onDrain(() => attempt?.resume());
    attempt = direct.send(
      server,
      {
        ...request,
        body: Buffer.from(request.body),
        ...(deadline !== undefined && { deadline: { header: deadline.header, at: deadlineAt } }),
      },
      {
        onHead(head) {
          reporter.report({ kind: 'head', head });
        },
        onData: (chunk) => reporter.report({ kind: 'data', chunk }),
        onEnd(outcome) {
          isEnded = true;
          reservation?.release();
          // A host of an earlier version knows no other word for a request that was not sent.
          const isUnsent = outcome.kind === 'notSent';
          reporter.report({ kind: 'end', outcome: isUnsent ? { kind: 'notConnected' } : outcome });
          // A host that stops must not end before the peer has received the response.
          reporter.end(() => {
            active -= 1;
          });
        },
      },
    );
    return () => {
      if (!isEnded) {
        attempt?.abort('callerGone');
      }
    };
  }

  return {
    begin(task, reporter) {
      // A host of another version may know servers that this one does not use.
      if (tryGetServerDefect(task.server) !== undefined || !options.canServe(task.server)) {
        return refuse(reporter);
      }
      switch (task.kind) {
        case 'attempt':
          return beginAttempt(task, reporter);
        case 'check':
          direct.checkListening(task.server, (listening) => {
            reporter.report({ kind: 'checked', listening });
            reporter.end();
          });
          return () => undefined;
        default:
          return task satisfies never;
      }
    },
    countActive: () => active,
  };
}
