import type { Socket } from 'node:net';
import type { PeerIntake } from './types';

/** Interval of checks while nothing arrives completely; messages that do bring checks of their own. */
const CHECK_INTERVAL_MS = 250;
const MESSAGE_CHECK_INTERVAL_MS = 50;
/** Interval while much is incomplete, and for some checks after a call has begun. */
const QUICK_CHECK_INTERVAL_MS = 10;
const QUICK_CHECKS = 25;
/** Share of the limit from which checks are quick. */
const MUCH_SHARE = 1 / 8;
const MILLISECONDS_PER_SECOND = 1_000;
/** Bytes of a connection that belong to no message: its beginning, frames, and keepalive pings. */
const CONNECTION_FRAME_BYTES = 65_536;
const MESSAGE_FRAME_BYTES = 512;
const FRAME_BYTES_PER_SECOND = 256;

interface PeerIntakeOptions {
  /** Bytes of incomplete messages that all peers together may send; Infinity for no limit. */
  readonly bytes: number;
  /** Calls of all peers at once; Infinity for no limit. */
  readonly calls: number;
  /** Counts bytes that peers have sent. */
  readonly recordReceived?: ((bytes: number) => void) | undefined;
}

interface PeerSocket {
  readonly socket: Socket;
  readonly openedAt: number;
  /** Bytes that were read until the last check. */
  checkedBytes: number;
  /** Bytes of messages that are complete, with their frames. */
  completeBytes: number;
  openCalls: number;
}

function getIncompleteBytes({ socket, openedAt, completeBytes }: PeerSocket): number {
  const seconds = (performance.now() - openedAt) / MILLISECONDS_PER_SECOND;
  const frames = CONNECTION_FRAME_BYTES + FRAME_BYTES_PER_SECOND * seconds;
  return Math.max(socket.bytesRead - completeBytes - frames, 0);
}

/**
 * Bounds the memory of calls, and of messages that have not arrived completely: closes the connections
 * that hold the most of them.
 */
export default function createPeerIntake(options: PeerIntakeOptions): PeerIntake {
  /** The open connections, by the peer's IP:PORT. */
  const peers = new Map<string, PeerSocket>();
  let openCalls = 0;
  let quickChecks = 0;
  let checkedAt = performance.now();
  let timer: NodeJS.Timeout | undefined;

  function close(name: string, peer: PeerSocket): void {
    if (peers.get(name) === peer) {
      peers.delete(name);
      openCalls -= peer.openCalls;
      peer.socket.destroy();
    }
  }

  function sum(measure: (peer: PeerSocket) => number): number {
    let total = 0;
    peers.forEach((peer) => {
      total += measure(peer);
    });
    return total;
  }

  /** Closes connections, those of which `measure` returns most first, until the sum is in the limit. */
  function enforce(limit: number, measure: (peer: PeerSocket) => number): void {
    const holders = [...peers].map(([name, peer]) => ({ name, peer, held: measure(peer) }));
    let total = sum(measure);
    holders.sort((one, other) => other.held - one.held);
    for (const { name, peer, held } of holders) {
      if (total <= limit) {
        return;
      }
      total -= held;
      close(name, peer);
    }
  }

  function checkBytes(): void {
    checkedAt = performance.now();
    const received = sum(({ socket, checkedBytes }) => socket.bytesRead - checkedBytes);
    options.recordReceived?.(received);
    peers.forEach((peer) => {
      peer.checkedBytes = peer.socket.bytesRead;
    });
    const incomplete = sum(getIncompleteBytes);
    const isMuch = incomplete > options.bytes * MUCH_SHARE;
    quickChecks = isMuch ? QUICK_CHECKS : Math.max(quickChecks - 1, 0);
    if (incomplete > options.bytes) {
      enforce(options.bytes, getIncompleteBytes);
    }
  }

  function scheduleCheck(): void {
    if (timer === undefined && peers.size > 0 && options.bytes < Infinity) {
      const interval = quickChecks > 0 ? QUICK_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS;
      timer = setTimeout(() => {
        timer = undefined;
        checkBytes();
        scheduleCheck();
      }, interval).unref();
    }
  }

  function checkQuickly(): void {
    quickChecks = QUICK_CHECKS;
    clearTimeout(timer);
    timer = undefined;
    scheduleCheck();
  }

  return {
    add(socket) {
      const name = `${socket.remoteAddress}:${socket.remotePort}`;
      const openedAt = performance.now();
      const peer = { socket, openedAt, checkedBytes: 0, completeBytes: 0, openCalls: 0 };
      peers.set(name, peer);
      socket.once('close', () => close(name, peer));
      scheduleCheck();
    },
    beginCall(name) {
      const peer = peers.get(name);
      if (peer === undefined) {
        return () => undefined;
      }
      peer.openCalls += 1;
      openCalls += 1;
      if (quickChecks === 0) {
        checkQuickly();
      }
      if (openCalls > options.calls) {
        enforce(options.calls, (other) => other.openCalls);
      }
      return () => {
        peer.openCalls -= 1;
        openCalls -= peers.get(name) === peer ? 1 : 0;
      };
    },
    recordMessage(name, bytes) {
      const peer = peers.get(name);
      if (peer !== undefined) {
        peer.completeBytes += bytes + MESSAGE_FRAME_BYTES;
      }
      if (performance.now() - checkedAt >= MESSAGE_CHECK_INTERVAL_MS) {
        checkBytes();
      }
    },
  };
}
