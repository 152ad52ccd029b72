import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { TrackedConnector, TrackedConnectorOptions } from './types';

interface Connection {
  readonly socket: Socket;
  hasEnded: boolean;
  isReset: boolean;
  isPaused: boolean;
}

/** Creates a connector that tells resets from closes and can pause connections. */
export default function createTrackedConnector(options: TrackedConnectorOptions): TrackedConnector {
  const open = buildConnector({ timeout: options.timeout });
  /** The connection whose event undici handles, or handled last. */
  let current: Connection | undefined;

  /**
   * Pauses by withholding the data that has arrived. The parser of undici cannot be paused itself: it
   * fails an assertion, as an uncaught exception, when a connection ends before it is resumed.
   */
  function trackReads(connection: Connection): void {
    const { socket } = connection;
    const read = socket.read.bind(socket);
    socket.read = (size) => {
      current = connection;
      return connection.isPaused ? null : (read(size) as unknown);
    };
  }

  function track(socket: Socket): void {
    const connection: Connection = { socket, hasEnded: false, isReset: false, isPaused: false };
    trackReads(connection);
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
    pause() {
      const connection = current;
      if (connection === undefined) {
        return () => undefined;
      }
      connection.isPaused = true;
      return () => {
        if (connection.isPaused) {
          connection.isPaused = false;
          // Later, since undici may be reading at the moment.
          setImmediate(() => connection.socket.emit('readable'));
        }
      };
    },
  };
}
