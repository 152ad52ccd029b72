import { serve } from '@hono/node-server';
import type { AddressInfo, Socket } from 'node:net';
import { createRandom, createSystemClock } from '@rattanreel/core';
import { createEngineModel, getHardware } from '@rattanreel/stand-in-engine-model';
import createEngineApplication from './createEngineApplication';
import createEngineService from './createEngineService';
import type { EngineStandIn, EngineStandInOptions } from './types';

const DEFAULTS = {
  version: 'v1',
  generation: 'third',
  checksFencing: true,
  seed: 1,
  host: '127.0.0.1',
  port: 0,
  loadMilliseconds: 1_000,
} as const;

/** Starts the stand-in for a model engine on a loopback port; rejects if the port is in use. */
export default async function createEngineStandIn(
  givenOptions: EngineStandInOptions,
): Promise<EngineStandIn> {
  const options = { ...DEFAULTS, ...givenOptions };
  const clock = options.clock ?? createSystemClock();
  const random = createRandom(options.seed);
  const hardware = { ...getHardware(options.generation), ...options.hardware };
  const model = createEngineModel({ ...options, clock, random, hardware, notifyEveryToken: true });
  const service = createEngineService({ ...options, clock, random, model });
  const sockets = new Set<Socket>();
  const stalledSockets = new Set<Socket>();
  const application = createEngineApplication({ model, service, stalledSockets });

  const server = await new Promise<ReturnType<typeof serve>>((resolve, reject) => {
    const started = serve(
      { fetch: application.fetch, hostname: options.host, port: options.port },
      () => resolve(started),
    );
    started.once('error', reject);
  });
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      stalledSockets.delete(socket);
    });
  });
  const { port } = server.address() as AddressInfo;

  return {
    id: options.id,
    address: `http://${options.host}:${port}`,
    getAudits: model.getAudits,
    getVersion: service.getVersion,
    getOrders: service.getOrders,
    slowDown: service.slowDown,
    stallOpenConnections: () => sockets.forEach((socket) => stalledSockets.add(socket)),
    resetToCold: model.resetToCold,
    failNextRequests: model.failNextRequests,
    disconnectStreamAfter: service.disconnectStreamAfter,
    injectRegression: service.injectRegression,
    setLeaving: (leaving = true) => model.setLeaving(leaving),
    close() {
      model.close();
      service.close();
      sockets.forEach((socket) => socket.destroy());
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
