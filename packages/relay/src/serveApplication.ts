import { serve } from '@hono/node-server';
import type { ServerType } from '@hono/node-server';
import type { Hono } from 'hono';
import splitAddress from './splitAddress';

/** Serves an application at HOST:PORT. */
export default function serveApplication(application: Hono, address: string): ServerType {
  const { host, port } = splitAddress(address);
  return serve({ fetch: application.fetch, hostname: host, port });
}
