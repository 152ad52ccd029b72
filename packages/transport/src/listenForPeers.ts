import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { limitConnections, listenOnAddress } from '@rattanreel/connections';
import type { ListenError } from '@rattanreel/connections';
import { ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { PeerListener, PeerListening } from './types';

/** Listens for peers on HOST:PORT; waits until the address is available. */
export default async function listenForPeers(
  address: string,
  listening: PeerListening = {},
): Promise<Outcome<PeerListener, ListenError>> {
  const { maximumConnections = Infinity } = listening;
  const accepted: Socket[] = [];
  let accept = (socket: Socket): void => {
    accepted.push(socket);
  };
  const server = createServer((socket) => accept(socket));
  limitConnections(server, maximumConnections);
  const listened = await listenOnAddress({ ...listening, server, endpoint: 'peers', address });
  if (listened.kind === 'error') {
    return listened;
  }
  return ok({
    address: listened.value.address,
    setHandler(handler) {
      accept = handler;
      accepted.splice(0).forEach(handler);
    },
    close() {
      server.close();
      accepted.forEach((socket) => socket.destroy());
    },
  });
}
