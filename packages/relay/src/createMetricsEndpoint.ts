import type { ServerType } from '@hono/node-server';
import { Hono } from 'hono';
import addOperatorRoutes from './explaining/addOperatorRoutes';
import type { OperatorAccess } from './explaining/types';
import serveApplication from './serveApplication';

interface MetricsEndpointOptions {
  /** HOST:PORT. */
  readonly address: string;
  readonly scrape: () => Promise<string>;
  /** Absent where operators' queries are off. */
  readonly operatorAccess?: OperatorAccess | undefined;
}

/** Serves the metrics at `/metrics` in the Prometheus text format, and operators' queries. */
export default function createMetricsEndpoint(options: MetricsEndpointOptions): ServerType {
  const application = new Hono();
  application.get('/metrics', async (context) => context.text(await options.scrape()));
  if (options.operatorAccess !== undefined) {
    addOperatorRoutes(application, options.operatorAccess);
  }
  return serveApplication(application, options.address);
}
