import type { FailureDomainId } from '@rattanreel/core';
import type { PeerAddress } from '../types';

/** Registered hosts of a failure domain from which on no further one registers. */
const REGISTERED_HOSTS_PER_DOMAIN = 8;
/** Every host of a fleet up to this size registers, since each of them sends to all others. */
const SMALL_FLEET_HOSTS = 13;

interface MustRegisterOptions {
  readonly ownDomain: FailureDomainId;
  /** The registered hosts; undefined if they cannot be listed. */
  readonly registered: readonly PeerAddress[] | undefined;
}

/**
 * Returns whether a host that is not registered must be: other hosts need to know those that may
 * schedule their failure domain, and a few of each domain are enough. So the number of registered
 * hosts, and of the calls that list them, grows with the number of domains.
 */
export default function mustRegister({ ownDomain, registered }: MustRegisterOptions): boolean {
  if (registered === undefined || registered.length < SMALL_FLEET_HOSTS) {
    return true;
  }
  const ownRegistered = registered.filter(({ failureDomain }) => failureDomain === ownDomain);
  return ownRegistered.length < REGISTERED_HOSTS_PER_DOMAIN;
}
