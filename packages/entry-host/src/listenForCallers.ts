import { createAdaptorServer } from '@hono/node-server';
import { createServer } from 'node:http';
import type { RequestListener, Server, ServerOptions } from 'node:http';
import type { Hono } from 'hono';
import { createIntake, listenOnAddress, stopAccepting } from '@rattanreel/connections';
import type {
  CallerMemory,
  IntakeLimits,
  ListenContext,
  ListenError,
} from '@rattanreel/connections';
import { ok } from '@rattanreel/core';
import type { Clock, Outcome } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import { sleep } from '@rattanreel/platform';
import createCallerConnections from './callers/createCallerConnections';
import type { CallerEnvironment, CallerListener } from './callers/types';
import type { Admission } from './types';

const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_CONNECTIONS = 8_192;
const LIMITS: IntakeLimits = {
  headerBytes: MAXIMUM_HEADER_BYTES,
  headerTimeout: 10_000,
  idleTimeout: 60_000,
};
const DRAIN_CHECK_INTERVAL_MS = 50;

interface CallerListenerContext extends ListenContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly admission: Pick<Admission, 'recordArrival'>;
  readonly memory: CallerMemory;
  /** Largest number of connections, and of those that wait to be accepted. */
  readonly callers: number;
  readonly backlog: number;
}

/** Listens for callers; waits until the address is available. */
export default async function listenForCallers(
  application: Hono<CallerEnvironment>,
  address: string,
  listening: CallerListenerContext,
): Promise<Outcome<CallerListener, ListenError>> {
  const { clock, logger, memory } = listening;
  const maximumConnections = Math.min(listening.callers, MAXIMUM_CONNECTIONS);
  const intake = createIntake({
    clock,
    memory,
    getMaximumConnections: () => maximumConnections,
    getLimits: () => LIMITS,
  });
  const connections = createCallerConnections({
    clock,
    admission: listening.admission,
    memory,
    intake,
    onCut({ method, url: target, headers }, activeFor) {
      const key = headers['idempotency-key'];
      logger.warn({ method, target, key, activeFor: Math.round(activeFor) }, 'request cut by stop');
    },
  });
  const server = createAdaptorServer({
    fetch: application.fetch,
    hostname: address.slice(0, address.lastIndexOf(':')),
    createServer: ((serverOptions: ServerOptions, listener: RequestListener) =>
      createServer(
        serverOptions,
        intake.handle(connections.takeTurns(listener)),
      )) as typeof createServer,
    serverOptions: {
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: LIMITS.headerTimeout,
      noDelay: true,
    },
  }) as Server;
  intake.guard(server);
  const listened = await listenOnAddress({ ...listening, server, endpoint: 'callers', address });
  if (listened.kind === 'error') {
    return listened;
  }
  return ok({
    address: listened.value.address,
    startDraining: connections.startDraining,
    countActive: () => connections.getActive().length,
    countAnswered: connections.countAnswered,
    async drain(duration) {
      const endsAt = clock.now() + duration;
      stopAccepting(server, connections.getActive());
      while (connections.getActive().length > 0 && clock.now() < endsAt) {
        await sleep(clock, DRAIN_CHECK_INTERVAL_MS);
        stopAccepting(server, connections.getActive());
      }
    },
    cutActive: connections.cutActive,
    forceClose: () => {
      server.close();
      server.closeAllConnections();
    },
  });
}
