import type { Server, Socket } from 'node:net';

/**
 * Limits the connections of a server. A connection beyond the limit takes the place of the oldest one
 * that has sent nothing, or else of the one that has sent the least.
 */
export default function limitConnections(server: Server, maximum: number): void {
  const sockets = new Set<Socket>();

  server.prependListener('connection', (socket: Socket) => {
    if (sockets.size >= maximum) {
      let least: Socket | undefined;
      sockets.forEach((other) => {
        if (other.bytesRead < (least?.bytesRead ?? Infinity)) {
          least = other;
        }
      });
      if (least !== undefined) {
        sockets.delete(least);
        least.destroy();
      }
    }
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
}
