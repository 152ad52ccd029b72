import type { Clock } from '@rattanreel/core';
import type { AttemptFigures } from '../pools/types';
import type { AttemptOutcome } from '../types';

interface AttemptMeter {
  recordChunk(): void;
  getFigures(end: AttemptOutcome): AttemptFigures;
}

/** Measures one attempt; the duration counts from this call. */
export default function createAttemptMeter(clock: Clock, outputTokens: number): AttemptMeter {
  const startedAt = clock.now();
  let firstAt: number | undefined;
  let lastAt = startedAt;
  let chunks = 0;

  return {
    recordChunk() {
      lastAt = clock.now();
      firstAt ??= lastAt;
      chunks += 1;
    },
    getFigures: (end) => ({
      end,
      duration: clock.now() - startedAt,
      firstDataAfter: firstAt === undefined ? undefined : firstAt - startedAt,
      laterChunks: Math.max(chunks - 1, 0),
      laterTime: firstAt === undefined ? 0 : lastAt - firstAt,
      outputTokens,
    }),
  };
}
