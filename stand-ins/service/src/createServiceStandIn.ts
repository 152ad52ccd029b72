import { serve } from '@hono/node-server';
import type { AddressInfo, Socket } from 'node:net';
import { createSystemClock } from '@rattanreel/core';
import createSemaphore from './createSemaphore';
import createBookingService from './createBookingService';
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

let incarnationCount = 0;

/** Returns the order's reference from a body; a body without one is its own reference. */
function getOrderReference(body: unknown): string {
  const reference = (body as { reference?: unknown; order?: unknown } | undefined) ?? {};
  return String(reference.reference ?? reference.order ?? JSON.stringify(body));
}

/** Starts the stand-in for a plain service on a loopback port; rejects if the port is in use. */
export default async function createServiceStandIn(
  givenOptions: ServiceStandInOptions,
): Promise<ServiceStandIn> {
  const options = { ...DEFAULTS, ...givenOptions };
  const clock = options.clock ?? createSystemClock();
  const bookingService = createBookingService();
  const semaphore = createSemaphore(options.maximumCalls);
  const sockets = new Set<Socket>();
  const stalledSockets = new Set<Socket>();
  let faults: ServiceFault[] = [];
  let leaving = false;
  incarnationCount += 1;
  const incarnation = `${options.id}-${incarnationCount}`;

  function sleep(delay: number): Promise<void> {
    return new Promise((resolve) => {
      clock.after(delay, resolve);
    });
  }

  const application = createServiceApplication({
    stalledSockets,
    sleep,
    getAudit: bookingService.getAudit,
    takeNextFault: () => faults.shift(),
    getLoad: () => ({
      incarnation,
      reportedAgo: options.reportLag,
      running: semaphore.running,
      waiting: semaphore.waiting,
      memoryTokensUsed: semaphore.running,
      memoryTokensTotal: options.maximumCalls,
      version: options.version,
      ready: true,
      leaving,
      role: 'both',
      fence: 0,
    }),
    async runInSlot(work) {
      await semaphore.acquire();
      try {
        await sleep(options.serviceMilliseconds);
        return work();
      } finally {
        semaphore.release();
      }
    },
    execute({ method, path, request, body }) {
      if (request !== undefined) {
        bookingService.recordRequest(request);
      }
      return method === 'POST' && path.startsWith('/orders')
        ? bookingService.bookOrder(getOrderReference(body))
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
    getAudit: bookingService.getAudit,
    injectFaults(next) {
      faults = [...faults, ...next];
    },
    stallOpenConnections: () => sockets.forEach((socket) => stalledSockets.add(socket)),
    setLeaving(next = true) {
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
