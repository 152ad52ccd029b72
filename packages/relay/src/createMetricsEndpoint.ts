import { Hono } from 'hono';
import { shareScrapes } from '@rattanreel/observability';
import type { ListenContext } from '@rattanreel/connections';
import serveApplication from './serveApplication';
import type { CheckIntake } from './types';

interface MetricsEndpointOptions {
  /** HOST:PORT. */
  readonly address: string;
  readonly scrape: () => Promise<string>;
  readonly listening: ListenContext;
  readonly intake: CheckIntake;
}

/**
 * Serves the metrics at `/metrics` in the Prometheus text format. Returns the function that closes
 * the endpoint.
 */
export default function createMetricsEndpoint(options: MetricsEndpointOptions): () => void {
  const application = new Hono();
  const scrape = shareScrapes({ clock: options.intake.clock, scrape: options.scrape });
  application.get('/metrics', async (context) => context.text(await scrape()));
  return serveApplication({ ...options, application, endpoint: 'metrics' });
}
