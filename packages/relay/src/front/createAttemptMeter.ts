import type { Milliseconds } from '@rattanreel/core';
import type { AttemptOutcome, AttemptFigures } from '../types';

interface AttemptMeter {
  recordChunk(): void;
  getFigures(end: AttemptOutcome): AttemptFigures;
}

/**
 * Measures one attempt; the duration counts from this call. `getTime` leaves out the time in which
 * this host was paused or late, which says nothing of the server.
 */
export default function createAttemptMeter(
  getTime: () => Milliseconds,
  outputTokens: number,
): AttemptMeter {
  const startedAt = getTime();
  let firstChunkAt: number | undefined;
  let lastChunkAt = startedAt;
  let chunks = 0;

  return {
    recordChunk() {
      lastChunkAt = Math.max(getTime(), lastChunkAt);
      firstChunkAt ??= lastChunkAt;
      chunks += 1;
    },
    getFigures: (end) => ({
      end,
      duration: Math.max(getTime(), lastChunkAt) - startedAt,
      firstDataAfter: firstChunkAt === undefined ? undefined : firstChunkAt - startedAt,
      laterChunks: Math.max(chunks - 1, 0),
      laterTime: firstChunkAt === undefined ? 0 : lastChunkAt - firstChunkAt,
      outputTokens,
    }),
  };
}
