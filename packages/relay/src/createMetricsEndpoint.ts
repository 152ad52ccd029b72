import type { ServerType } from '@hono/node-server';
import { Hono } from 'hono';
import serveApplication from './serveApplication';

interface MetricsEndpointOptions {
  /** HOST:PORT. */
  readonly address: string;
  readonly scrape: () => Promise<string>;
}

/** Serves the metrics at `/metrics` in the Prometheus text format. */
export default function createMetricsEndpoint(options: MetricsEndpointOptions): ServerType {
  const application = new Hono();
  application.get('/metrics', async (context) => context.text(await options.scrape()));
  return serveApplication(application, options.address);
}
