import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { TrackedConnector, TrackedConnectorOptions } from './types';

interface Connection {
  hasEnded: boolean;
  isReset: boolean;
}

/** Creates a connector that tells resets from closes. */
export default function createTrackedConnector(options: TrackedConnectorOptions): TrackedConnector {
  const open = buildConnector({ timeout: options.timeout });
  /** The connection whose event undici handles, or handled last. */
  let current: Connection | undefined;

  function track(socket: Socket): void {
    const connection: Connection = { hasEnded: false, isReset: false };
    // These listeners precede that of undici, which ends the response in the same event, and that of
    // the socket itself, which closes its own side.
    socket.prependListener('end', () => {
      current = connection;
      connection.hasEnded = true;
      // If the last bytes and a reset arrive together, Node.js reports a close. The system knows no
      // peer of the connection then; after a close it does, until this side is closed as well.
      connection.isReset ||= socket.remoteAddress === undefined;
    });
    socket.prependListener('error', () => {
      current = connection;
      connection.isReset = true;
    });
    socket.prependListener('close', () => {
      current = connection;
      connection.isReset ||= !connection.hasEnded;
    });
  }

  return {
    connect(target, callback) {
      open(target, (...outcome) => {
        const [error, socket] = outcome;
        if (error === null) {
          track(socket);
        }
        callback(...outcome);
      });
    },
    isReset: () => current?.isReset ?? false,
  };
}
