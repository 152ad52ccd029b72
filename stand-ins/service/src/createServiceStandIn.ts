import { serve } from '@hono/node-server';
import type { AddressInfo, Socket } from 'node:net';
import { createSystemClock } from '@rattanreel/core';
import createCallSlots from './createCallSlots';
import createOrderBook from './createOrderBook';
import createServiceApplication from './createServiceApplication';
import type { ServiceFault, ServiceStandIn, ServiceStandInOptions } from './types';

const DEFAULTS = {
  version: 'v1',
  host: '127.0.0.1',
  port: 0,
  serviceMilliseconds: 5,
  maximumCalls: 32,
  reportLag: 500,
} as const;

let incarnations = 0;

/** Name of the order that a body carries; a body without one stands for itself. */
function getReference(body: unknown): string {
  const reference = (body as { reference?: unknown; order?: unknown } | undefined) ?? {};
  return String(reference.reference ?? reference.order ?? JSON.stringify(body));
}

/** Starts an order book's stand-in on a loopback port; rejects when the port is taken. */
export default async function createServiceStandIn(
  given: ServiceStandInOptions,
): Promise<ServiceStandIn> {
  const options = { ...DEFAULTS, ...given };
  const clock = options.clock ?? createSystemClock();
  const book = createOrderBook();
  const slots = createCallSlots(options.maximumCalls);
  const sockets = new Set<Socket>();
  const silentSockets = new Set<Socket>();
  let faults: ServiceFault[] = [];
  let leaving = false;
  incarnations += 1;
  const incarnation = `${options.id}-${incarnations}`;

  function wait(delay: number): Promise<void> {
    return new Promise((resolve) => {
      clock.after(delay, resolve);
    });
  }

  const application = createServiceApplication({
    silentSockets,
    wait,
    audit: book.audit,
    nextFault: () => faults.shift(),
    load: () => ({
      incarnation,
      reportedAgo: options.reportLag,
      running: slots.running,
      waiting: slots.waiting,
      memoryTokensUsed: slots.running,
      memoryTokensTotal: options.maximumCalls,
      version: options.version,
      ready: true,
      leaving,
      role: 'both',
      fence: 0,
    }),
    async serve(work) {
      await slots.acquire();
      try {
        await wait(options.serviceMilliseconds);
        return work();
      } finally {
        slots.release();
      }
    },
    execute({ method, path, request, body }) {
      if (request !== undefined) {
        book.recordRequest(request);
      }
      return method === 'POST' && path.startsWith('/orders')
        ? book.book(getReference(body))
        : { path, inStock: path.length };
    },
  });

  const server = await new Promise<ReturnType<typeof serve>>((resolve, reject) => {
    const started = serve(
      { fetch: application.fetch, hostname: options.host, port: options.port },
      () => resolve(started),
    );
    started.once('error', reject);
  });
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const { port } = server.address() as AddressInfo;

  return {
    id: options.id,
    address: `http://${options.host}:${port}`,
    audit: book.audit,
    injectFaults(next) {
      faults = [...faults, ...next];
    },
    goSilentOnOpenConnections: () => sockets.forEach((socket) => silentSockets.add(socket)),
    announceLeaving(next = true) {
      leaving = next;
    },
    close() {
      sockets.forEach((socket) => socket.destroy());
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
