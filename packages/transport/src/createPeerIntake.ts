import type { Socket } from 'node:net';
import type { PeerIntake } from './types';

const CHECK_INTERVAL_MS = 100;
const MILLISECONDS_PER_SECOND = 1_000;
/** Bytes of a connection that belong to no message: its beginning, frames, and keepalive pings. */
const CONNECTION_FRAME_BYTES = 65_536;
const MESSAGE_FRAME_BYTES = 512;
const FRAME_BYTES_PER_SECOND = 256;

interface PeerIntakeOptions {
  /** Bytes of incomplete messages that all peers together may send; Infinity for no limit. */
  readonly bytes: number;
}

interface PeerSocket {
  readonly openedAt: number;
  /** Bytes of messages that are complete, with their frames. */
  completeBytes: number;
}

/**
 * Bounds the memory of messages that have not arrived completely: closes the connections that hold the
 * most of them.
 */
export default function createPeerIntake({ bytes: limit }: PeerIntakeOptions): PeerIntake {
  const sockets = new Map<Socket, PeerSocket>();
  const namesOfSockets = new Map<string, PeerSocket>();
  let timer: NodeJS.Timeout | undefined;

  function getIncompleteBytes(socket: Socket, { openedAt, completeBytes }: PeerSocket): number {
    const seconds = (performance.now() - openedAt) / MILLISECONDS_PER_SECOND;
    const frames = CONNECTION_FRAME_BYTES + FRAME_BYTES_PER_SECOND * seconds;
    return Math.max(socket.bytesRead - completeBytes - frames, 0);
  }

  function enforce(): void {
    const holders = [...sockets].map(([socket, state]) => ({
      socket,
      bytes: getIncompleteBytes(socket, state),
    }));
    let total = holders.reduce((sum, { bytes }) => sum + bytes, 0);
    if (total <= limit) {
      return;
    }
    holders.sort((one, other) => other.bytes - one.bytes);
    for (const { socket, bytes } of holders) {
      if (total <= limit) {
        return;
      }
      total -= bytes;
      socket.destroy();
    }
  }

  function scheduleCheck(): void {
    if (timer === undefined && sockets.size > 0 && limit < Infinity) {
      timer = setTimeout(() => {
        timer = undefined;
        enforce();
        scheduleCheck();
      }, CHECK_INTERVAL_MS).unref();
    }
  }

  return {
    add(socket) {
      const name = `${socket.remoteAddress}:${socket.remotePort}`;
      const state = { openedAt: performance.now(), completeBytes: 0 };
      sockets.set(socket, state);
      namesOfSockets.set(name, state);
      socket.once('close', () => {
        sockets.delete(socket);
        if (namesOfSockets.get(name) === state) {
          namesOfSockets.delete(name);
        }
      });
      scheduleCheck();
    },
    recordMessage(peer, bytes) {
      const state = namesOfSockets.get(peer);
      if (state !== undefined) {
        state.completeBytes += bytes + MESSAGE_FRAME_BYTES;
      }
    },
  };
}
