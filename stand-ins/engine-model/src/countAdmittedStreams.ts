import type { EngineState } from './types';

/** Streams that are admitted to the batch. */
export default function countAdmittedStreams(state: EngineState): number {
  return state.prefilling.length + state.decodingCount;
}
