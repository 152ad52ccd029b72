/**
 * Maximum number of peers in a fleet where each host sends its summaries to all others. The number
 * of messages grows with the square of the number of hosts, so in a larger fleet hosts send them
 * only within their own failure domain.
 */
const MAXIMUM_DIRECT_PEERS = 12;

/** Returns whether a host has too many peers to receive summaries from all of them directly. */
export default function isLargeFleet(peerCount: number): boolean {
  return peerCount > MAXIMUM_DIRECT_PEERS;
}
