import type { ServerType } from '@hono/node-server';
import { Hono } from 'hono';
import serveApplication from './serveApplication';

interface ReadinessEndpointOptions {
  /** HOST:PORT. */
  readonly address: string;
  readonly readyPath: string;
  readonly isReady: () => boolean;
}

/** Serves the readiness check of the load balancer: 200 when ready, 503 otherwise. */
export default function createReadinessEndpoint(options: ReadinessEndpointOptions): ServerType {
  const application = new Hono();
  application.get(options.readyPath, (context) =>
    options.isReady() ? context.text('ready', 200) : context.text('not ready', 503),
  );
  return serveApplication(application, options.address);
}
