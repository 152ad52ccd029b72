/**
 * Other hosts up to which each host tells all of them what it does. Messages grow with the square of
 * this number; beyond it hosts tell those of their own failure domain only.
 */
const MAXIMUM_DIRECT_PEERS = 12;

/** Whether a host has too many others to hear them all directly. */
export default function isLargeFleet(otherHosts: number): boolean {
  return otherHosts > MAXIMUM_DIRECT_PEERS;
}
