import { Hono } from 'hono';
import type { ListenContext } from '@rattanreel/connections';
import serveApplication from './serveApplication';
import type { CheckIntake } from './types';

interface ReadinessEndpointOptions {
  /** HOST:PORT. */
  readonly address: string;
  readonly readyPath: string;
  readonly isReady: () => boolean;
  readonly listening: ListenContext;
  readonly intake: CheckIntake;
}

/**
 * Serves the readiness check of the load balancer: 200 when ready, 503 otherwise. Returns the
 * function that closes the endpoint.
 */
export default function createReadinessEndpoint(options: ReadinessEndpointOptions): () => void {
  const application = new Hono();
  application.get(options.readyPath, (context) =>
    options.isReady() ? context.text('ready', 200) : context.text('not ready', 503),
  );
  return serveApplication({ ...options, application, endpoint: 'readiness' });
}
