import type { BackendServerId, EntryHostId, Milliseconds } from '@rattanreel/core';
import chooseRendezvousHosts from './chooseRendezvousHosts';

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Hosts that send requests to one cold server. With more, each would send less than one request in
 * several seconds.
 */
const SENDERS_PER_COLD_SERVER = 6;

interface ColdIntervalOptions {
  readonly server: BackendServerId;
  readonly host: EntryHostId;
  readonly hosts: readonly EntryHostId[];
  /** Requests per second that the cold server can handle from all hosts; 0 means no limit. */
  readonly rate: number;
}

/**
 * Returns the time between two requests of this host to a cold server; Infinity if this host sends
 * it none. The sending hosts share its rate equally, so that they need not coordinate counts.
 */
export default function getColdRequestInterval(options: ColdIntervalOptions): Milliseconds {
  const { server, host, hosts, rate } = options;
  if (rate <= 0) {
    return 0;
  }
  const senders = chooseRendezvousHosts(server, hosts, SENDERS_PER_COLD_SERVER);
  return senders.includes(host) ? (senders.length * MILLISECONDS_PER_SECOND) / rate : Infinity;
}
