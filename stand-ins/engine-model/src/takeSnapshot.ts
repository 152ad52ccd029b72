import countAdmittedStreams from './countAdmittedStreams';
import type { EngineLoad, EngineState, EngineStatus } from './types';

/** Returns the engine's current load. */
export default function takeSnapshot(
  state: EngineState,
  status: EngineStatus,
): Omit<EngineLoad, 'reportedAgo'> {
  return {
    incarnation: status.incarnation,
    running: countAdmittedStreams(state),
    waiting: state.waiting.length,
    memoryTokensUsed: Math.round(state.memoryUsed),
    memoryTokensTotal: state.hardware.memoryTokens,
    version: status.version,
    ready: status.ready,
    leaving: status.leaving,
  };
}
