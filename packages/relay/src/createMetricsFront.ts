import { serve } from '@hono/node-server';
import type { ServerType } from '@hono/node-server';
import { Hono } from 'hono';

interface MetricsFrontOptions {
  /** HOST:PORT. */
  readonly address: string;
  readonly scrape: () => Promise<string>;
}

/** Gives the metrics out at `/metrics`, in the Prometheus text format. */
export default function createMetricsFront(options: MetricsFrontOptions): ServerType {
  const application = new Hono();
  application.get('/metrics', async (context) => context.text(await options.scrape()));
  const at = options.address.lastIndexOf(':');
  return serve({
    fetch: application.fetch,
    hostname: options.address.slice(0, at),
    port: Number(options.address.slice(at + 1)),
  });
}
