import type { ClusterState, ClusterStateChange } from '../types';

/** Lists the changes that a peer's state brings, the store's era before what belongs to it. */
export default function listStateChanges(state: ClusterState): readonly ClusterStateChange[] {
  const { configuration, servers, evacuated, peers, rollouts, storeEra } = state;
  const changes: ClusterStateChange[] = [];
  if (storeEra !== undefined) {
    changes.push({ kind: 'storeEra', era: storeEra });
  }
  if (configuration !== undefined) {
    changes.push({ kind: 'configuration', configuration });
  }
  if (servers !== undefined) {
    changes.push({ kind: 'servers', servers, version: state.serversVersion });
  }
  if (evacuated !== undefined) {
    changes.push({
      kind: 'evacuated',
      failureDomains: evacuated,
      version: state.evacuatedVersion,
    });
  }
  if (rollouts !== undefined) {
    changes.push({ kind: 'rollouts', rollouts, version: state.rolloutsVersion ?? -1 });
  }
  if (peers !== undefined) {
    changes.push({ kind: 'peers', peers, version: state.rosterVersion });
  }
  return changes;
}
