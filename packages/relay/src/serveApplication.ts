import { createServer } from 'node:http';
import type { RequestListener, Server, ServerOptions } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import type { Hono } from 'hono';
import { createIntake, listenOnAddress, refuseBodies } from '@rattanreel/connections';
import type { IntakeLimits, ListenContext, ListenEndpoint } from '@rattanreel/connections';
import type { CheckIntake } from './types';

/** Limits on requests of load balancers and scrapers. */
const CHECK_LIMITS: IntakeLimits = {
  headerBytes: 16_384,
  headerTimeout: 10_000,
  idleTimeout: 120_000,
};

interface ApplicationOptions {
  readonly application: Hono;
  readonly endpoint: ListenEndpoint;
  /** HOST:PORT. */
  readonly address: string;
  readonly listening: ListenContext;
  readonly intake: CheckIntake;
}

/**
 * Serves an application as soon as its address is available, without a wait for it. Returns the
 * function that closes the server, and ends the attempts.
 */
export default function serveApplication(options: ApplicationOptions): () => void {
  const { application, endpoint, address, listening } = options;
  const intake = createIntake({
    ...options.intake,
    getMaximumConnections: () => options.intake.maximumConnections,
    getLimits: () => CHECK_LIMITS,
  });
  const server = createAdaptorServer({
    fetch: application.fetch,
    createServer: ((serverOptions: ServerOptions, listener: RequestListener) =>
      createServer(serverOptions, intake.handle(refuseBodies(listener)))) as typeof createServer,
  }) as Server;
  intake.guard(server);
  const closed = new AbortController();
  const signals = [closed.signal, ...(listening.signal === undefined ? [] : [listening.signal])];
  void listenOnAddress({
    ...listening,
    server,
    endpoint,
    address,
    backlog: options.intake.maximumConnections,
    signal: AbortSignal.any(signals),
  });
  return () => {
    closed.abort();
    server.close();
  };
}
