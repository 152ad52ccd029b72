import type { ClusterState, ClusterStateVersions } from '../types';

/** Returns a state without the parts whose versions are not newer than the known ones. */
export default function selectNewerState(
  state: ClusterState,
  known: ClusterStateVersions,
): ClusterState {
  return {
    ...state,
    configuration:
      state.configurationVersion > known.configurationVersion ? state.configuration : undefined,
    servers: state.serversVersion > known.serversVersion ? state.servers : undefined,
    evacuated: state.evacuatedVersion > known.evacuatedVersion ? state.evacuated : undefined,
    rollouts:
      (state.rolloutsVersion ?? -1) > (known.rolloutsVersion ?? -1) ? state.rollouts : undefined,
    peers: state.rosterVersion > known.rosterVersion ? state.peers : undefined,
  };
}
