import { z } from 'zod';

const distribution = z.object({
  median: z.number().nullable(),
  percentile90: z.number().nullable(),
  maximum: z.number().nullable(),
});

const moveSet = z.object({
  moves: z.number(),
  goodMoves: z.number(),
  goodCompletedInTimeShare: z.number().nullable(),
  goodTakenBackShare: z.number().nullable(),
  bad: z.object({
    moves: z.number(),
    badTakenBackShare: z.number().nullable(),
    secondsFromSeenToZero: distribution,
    secondsFromFirstFaultyToZero: distribution,
    requestsBeforeSeen: distribution,
    requestsAfterSeen: distribution,
    shareWhenSeen: distribution,
  }),
});

/** Schema of the parts of the moves benchmark's JSON that are plotted. */
const movesSchema = z.object({
  seed: z.number(),
  hold: moveSet,
  preAuthorised: moveSet,
});

export default movesSchema;
