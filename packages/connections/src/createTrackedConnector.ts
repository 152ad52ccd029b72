import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import { buildConnector } from 'undici';
import type { Milliseconds } from '@rattanreel/core';
import type { TrackedConnector, TrackedConnectorOptions } from './types';

/** Largest piece that is parsed at once: undici calls its handler for each chunk, even of one byte. */
const MAXIMUM_PIECE_BYTES = 16_384;
/** Time for which one connection is read before all others have their turn. */
const MAXIMUM_TURN: Milliseconds = 10;

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
   * Withholds data that has arrived while the connection is paused, and after each turn: Node.js would
   * go on reading from a server that sends faster than it is handled. The parser of undici cannot be
   * paused itself, since it fails an assertion, as an uncaught exception, when a connection ends before
   * it is resumed.
   */
  function limitReads(connection: Connection): void {
    const { socket } = connection;
    const read = socket.read.bind(socket);
    let handledSince: Milliseconds | undefined;
    let turn: Milliseconds = 0;
    let isWaiting = false;

    const waitForOthers = (): void => {
      isWaiting = true;
      setImmediate(() => {
        isWaiting = false;
        turn = 0;
        socket.emit('readable');
      });
    };

    socket.read = (requested) => {
      if (requested === 0) {
        // Starts reading; returns no data.
        return read(0) as unknown;
      }
      current = connection;
      const now = performance.now();
      turn += handledSince === undefined ? 0 : now - handledSince;
      handledSince = undefined;
      if (turn >= MAXIMUM_TURN && !isWaiting) {
        waitForOthers();
      }
      if (connection.isPaused || isWaiting) {
        return null;
      }
      const size = socket.readableLength > MAXIMUM_PIECE_BYTES ? MAXIMUM_PIECE_BYTES : undefined;
      const piece = read(size) as unknown;
      handledSince = piece === null ? undefined : now;
      return piece;
    };
  }

  function track(socket: Socket): void {
    const connection: Connection = { socket, hasEnded: false, isReset: false, isPaused: false };
    limitReads(connection);
    // These listeners precede that of undici, which ends the response in the same event, and that of
    // the socket itself, which closes its own side.
    socket.prependListener('end', () => {
      current = connection;
      connection.hasEnded = true;
      // If a reset arrives together with the last bytes, Node.js reports an end. getpeername, which
      // `remoteAddress` calls, fails then; after a close it succeeds until this side is closed too.
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
