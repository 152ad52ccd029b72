import type { EntryHostId, FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import chooseHosts from './chooseHosts';
import isLargeFleet from './isLargeFleet';

/** Hosts of a failure domain that follow the store, so that one may die. */
const FOLLOWERS = 2;
/** Time for which a new host waits to hear from others before it follows the store by itself. */
const PATIENCE: Milliseconds = 3_000;

interface StoreFollowerOptions {
  readonly ownName: EntryHostId;
  readonly ownDomain: FailureDomainId;
  /** Undefined until the hosts have been listed. */
  readonly peers: readonly PeerAddress[] | undefined;
  /** Hosts heard lately, with their failure domains. */
  readonly heard: readonly Pick<PeerAddress, 'entryHost' | 'failureDomain'>[];
  /** Whether this host knows a configuration and the backend servers. */
  readonly isInformed: boolean;
  /** Time since this process started. */
  readonly age: Milliseconds;
}

/**
 * Whether this host follows the platform's store. In a small fleet every host does. In a large one two
 * of each failure domain do and tell the others, so that store calls grow with domains, not with hosts.
 */
export default function isStoreFollower(options: StoreFollowerOptions): boolean {
  const { ownName, ownDomain, peers, heard, isInformed, age } = options;
  if (peers === undefined || (!isInformed && age > PATIENCE)) {
    return age > PATIENCE;
  }
  if (!isLargeFleet(peers.length)) {
    return true;
  }
  const near = heard
    .filter(({ failureDomain }) => failureDomain === ownDomain)
    .map(({ entryHost }) => entryHost);
  return chooseHosts('store', [ownName, ...near], FOLLOWERS).includes(ownName);
}
