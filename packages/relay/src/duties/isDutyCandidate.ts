import listDomainCandidates from '../admission/listDomainCandidates';
import type { FleetRole, PeerAddress } from '../types';

/** Candidates of each failure domain: one may be lost together with the other's connection. */
const CANDIDATES_PER_DOMAIN = 2;

interface DutyCandidateOptions {
  readonly self: PeerAddress;
  /** The registered hosts other than this one. */
  readonly peers: readonly PeerAddress[];
  readonly role: FleetRole;
}

/**
 * Returns whether this host tries to acquire the lease of the duties. Handles fleets of any size:
 * the number of candidates, and so of store calls, grows with the failure domains. In a large fleet
 * only a candidate that grants slots has the counts of its domain at first hand.
 */
export default function isDutyCandidate({ self, peers, role }: DutyCandidateOptions): boolean {
  if (role.isLarge && !role.isGranting) {
    return false;
  }
  return listDomainCandidates([self, ...peers], CANDIDATES_PER_DOMAIN).some(
    ({ entryHost }) => entryHost === self.entryHost,
  );
}
