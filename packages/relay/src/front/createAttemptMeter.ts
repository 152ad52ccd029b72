import type { Clock } from '@rattanreel/core';
import type { AttemptOutcome, AttemptFigures } from '../types';

interface AttemptMeter {
  recordChunk(): void;
  getFigures(end: AttemptOutcome): AttemptFigures;
}

/** Measures one attempt; the duration counts from this call. */
export default function createAttemptMeter(clock: Clock, outputTokens: number): AttemptMeter {
  const startedAt = clock.now();
  let firstChunkAt: number | undefined;
  let lastChunkAt = startedAt;
  let chunks = 0;

  return {
    recordChunk() {
      lastChunkAt = clock.now();
      firstChunkAt ??= lastChunkAt;
      chunks += 1;
    },
    getFigures: (end) => ({
      end,
      duration: clock.now() - startedAt,
      firstDataAfter: firstChunkAt === undefined ? undefined : firstChunkAt - startedAt,
      laterChunks: Math.max(chunks - 1, 0),
      laterTime: firstChunkAt === undefined ? 0 : lastChunkAt - firstChunkAt,
      outputTokens,
    }),
  };
}
