import type { ConnectionLimits, HostCapacity } from './types';

/** Descriptors that are not for sockets. */
const FILE_DESCRIPTORS = 200;
/** Memory of the host for each connection of a caller, or of a peer. */
const BYTES_PER_CONNECTION = 262_144;
/** Memory of the host for each call of a peer. */
const BYTES_PER_CALL = 65_536;
/** Shares of the sockets; the rest is for backend servers, the platform's store and new connections. */
const CALLER_SHARE = 1 / 2;
const PEER_SHARE = 1 / 4;
const CHECK_SHARE = 1 / 16;
/** More than load balancers and scrapers open, on any host. */
const MAXIMUM_CHECK_CONNECTIONS = 64;

/**
 * Share of the memory for what connections send before they are accepted, and about how much that is for
 * each one. Node.js accepts one connection in each turn of the event loop.
 */
const BACKLOG_MEMORY_SHARE = 1 / 8;
const BACKLOG_BYTES_PER_CONNECTION = 65_536;
const MAXIMUM_BACKLOG = 1_024;

/** Returns how many connections each endpoint of a host may have. */
export default function getConnectionLimits({
  memory,
  descriptors,
}: HostCapacity): ConnectionLimits {
  const sockets = Math.max(descriptors - FILE_DESCRIPTORS, descriptors / 2);
  return {
    callers: Math.floor(Math.min(sockets * CALLER_SHARE, memory / BYTES_PER_CONNECTION)),
    peers: Math.floor(Math.min(sockets * PEER_SHARE, memory / BYTES_PER_CONNECTION)),
    peerCalls: Math.floor(memory / BYTES_PER_CALL),
    backlog: Math.floor(
      Math.min((memory * BACKLOG_MEMORY_SHARE) / BACKLOG_BYTES_PER_CONNECTION, MAXIMUM_BACKLOG),
    ),
    checks: Math.floor(Math.min(sockets * CHECK_SHARE, MAXIMUM_CHECK_CONNECTIONS)),
  };
}
