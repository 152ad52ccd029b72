import {
  createCallerMemory,
  createGarbageCollector,
  getConnectionLimits,
} from '@rattanreel/connections';
import type { CallerMemory, ConnectionLimits, HostCapacity } from '@rattanreel/connections';
import type { Clock } from '@rattanreel/core';

/**
 * Share of the host's memory for the requests of callers. It is released by the next garbage
 * collection, so that the process holds more than is counted.
 */
const CALLER_MEMORY_SHARE = 1 / 8;
/** Share of the memory for messages of peers that have not arrived completely. */
const PEER_MEMORY_SHARE = 1 / 16;

interface CallerBoundsOptions extends HostCapacity {
  readonly clock: Pick<Clock, 'now'>;
}

interface CallerBounds {
  readonly callerMemory: CallerMemory;
  readonly connectionLimits: ConnectionLimits;
  /** Bytes of incomplete messages that all peers together may send. */
  readonly incompleteBytes: number;
  /** Calls of all peers at once. */
  readonly maximumCalls: number;
}

/** Creates the bounds on what the callers and the peers of a host may make it hold. */
export default function createCallerBounds(options: CallerBoundsOptions): CallerBounds {
  const connectionLimits = getConnectionLimits(options);
  return {
    callerMemory: createCallerMemory({
      clock: options.clock,
      bytes: options.memory * CALLER_MEMORY_SHARE,
      collector: createGarbageCollector(),
    }),
    connectionLimits,
    maximumCalls: connectionLimits.peerCalls,
    incompleteBytes: options.memory * PEER_MEMORY_SHARE,
  };
}
