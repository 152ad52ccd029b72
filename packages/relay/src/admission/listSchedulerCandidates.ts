import { chooseOwners } from '@rattanreel/membership';
import type { PeerAddress } from '../types';

interface CandidateOptions {
  readonly self: PeerAddress;
  /** The registered hosts of the fleet, with or without this one. */
  readonly peers: readonly PeerAddress[];
}

/**
 * Lists the hosts that may schedule this host's failure domain, best first. All hosts that know the
 * same registered hosts list the same order: those with more capacity first, by rendezvous hashing
 * among equals. A host that is not registered, so that no other host knows it, comes last.
 */
export default function listSchedulerCandidates(options: CandidateOptions): readonly PeerAddress[] {
  const { self, peers } = options;
  const registered = peers.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const isRegistered = registered.some(({ entryHost }) => entryHost === self.entryHost);
  const ordered = [
    ...chooseOwners(`scheduler ${self.failureDomain}`, registered, registered.length),
  ].sort((left, right) => right.capacity - left.capacity);
  return isRegistered ? ordered : [...ordered, self];
}
