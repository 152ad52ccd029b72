import { z } from 'zod';

const policyResult = z.object({
  goodputByTier: z.array(z.number()),
  offeredByTier: z.array(z.number()),
  wastedPrefillShare: z.number().nullable(),
  goodputBackAfterSeconds: z.number().nullable().optional(),
});

/** Schema of the parts of the goodput benchmark's JSON that are plotted. */
const goodputSchema = z.object({
  seed: z.number(),
  quick: z.boolean(),
  scenarios: z.array(
    z.object({
      name: z.string(),
      deployment: z.string(),
      policies: z.record(z.string(), policyResult),
    }),
  ),
});

export default goodputSchema;
