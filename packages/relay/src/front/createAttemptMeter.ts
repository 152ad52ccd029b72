import type { Clock } from '@rattanreel/core';
import type { AttemptFigures } from '../pools/types';
import type { AttemptEnd } from '../types';

interface AttemptMeter {
  noteChunk(): void;
  read(end: AttemptEnd): AttemptFigures;
}

/** Measures one attempt from its start. */
export default function createAttemptMeter(clock: Clock, outputTokens: number): AttemptMeter {
  const startedAt = clock.now();
  let firstAt: number | undefined;
  let lastAt = startedAt;
  let chunks = 0;

  return {
    noteChunk() {
      lastAt = clock.now();
      firstAt ??= lastAt;
      chunks += 1;
    },
    read: (end) => ({
      end,
      duration: clock.now() - startedAt,
      firstDataAfter: firstAt === undefined ? undefined : firstAt - startedAt,
      laterChunks: Math.max(chunks - 1, 0),
      laterTime: firstAt === undefined ? 0 : lastAt - firstAt,
      outputTokens,
    }),
  };
}
