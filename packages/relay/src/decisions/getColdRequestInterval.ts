import type { BackendServerId, EntryHostId, Milliseconds } from '@rattanreel/core';
import chooseRendezvousHosts from './chooseRendezvousHosts';

const MILLISECONDS_PER_SECOND = 1_000;
/** Hosts that send to one cold server; more would leave each less than a request in some seconds. */
const SENDERS_PER_COLD_SERVER = 6;

interface ColdIntervalOptions {
  readonly server: BackendServerId;
  readonly host: EntryHostId;
  readonly hosts: readonly EntryHostId[];
  /** Requests a second that the cold server bears from all hosts together. */
  readonly rate: number;
}

/**
 * Time between two requests of this host to a cold server; Infinity when this host sends it none. The
 * hosts that do share its rate equally, so that no count has to be agreed.
 */
export default function getColdRequestInterval(options: ColdIntervalOptions): Milliseconds {
  const { server, host, hosts, rate } = options;
  if (rate <= 0) {
    return 0;
  }
  const senders = chooseRendezvousHosts(server, hosts, SENDERS_PER_COLD_SERVER);
  return senders.includes(host) ? (senders.length * MILLISECONDS_PER_SECOND) / rate : Infinity;
}
