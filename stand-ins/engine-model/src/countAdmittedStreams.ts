import type { EngineState } from './types';

/** Counts the streams that are admitted to the batch. */
export default function countAdmittedStreams(state: EngineState): number {
  return state.prefilling.length + state.decodingCount;
}
