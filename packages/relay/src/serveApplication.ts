import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import type { Hono } from 'hono';
import { listenOnAddress } from '@rattanreel/connections';
import type { ListenContext, ListenEndpoint } from '@rattanreel/connections';

interface ApplicationOptions {
  readonly application: Hono;
  readonly endpoint: ListenEndpoint;
  /** HOST:PORT. */
  readonly address: string;
  readonly listening: ListenContext;
}

/**
 * Serves an application as soon as its address is available, without a wait for it. Returns the
 * function that closes the server, and ends the attempts.
 */
export default function serveApplication(options: ApplicationOptions): () => void {
  const { application, endpoint, address, listening } = options;
  const server = createAdaptorServer({ fetch: application.fetch }) as Server;
  const closed = new AbortController();
  const signals = [closed.signal, ...(listening.signal === undefined ? [] : [listening.signal])];
  void listenOnAddress({
    ...listening,
    server,
    endpoint,
    address,
    signal: AbortSignal.any(signals),
  });
  return () => {
    closed.abort();
    server.close();
  };
}
