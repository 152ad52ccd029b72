import type { Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';

/**
 * Stops listening and closes idle connections, but cuts no response of `active`, the responses that
 * have not been sent. To be called until there is none: others may become idle.
 */
export default function stopAccepting(server: Server, active: Iterable<ServerResponse>): void {
  if (server.listening) {
    // That of an HTTP server also closes idle connections.
    NetServer.prototype.close.call(server);
  }
  // To Node.js a connection is idle once its response has ended, also while bytes of it are unsent.
  const spared = [...active].flatMap(({ writableEnded, socket }): Socket[] =>
    writableEnded && socket !== null ? [socket] : [],
  );
  spared.forEach((socket) => Object.assign(socket, { destroy: () => socket }));
  server.closeIdleConnections();
  spared.forEach((socket) => Reflect.deleteProperty(socket, 'destroy'));
}
