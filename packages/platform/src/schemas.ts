import * as z from 'zod';

const object = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.number(),
  value: z.unknown(),
});

/** Schemas of the object API's JSON documents. */
const schemas = {
  object,
  list: z.object({ items: z.array(object), version: z.number() }),
  conflict: z.object({ current: object.nullish() }),
  hosts: z.object({
    hosts: z.array(
      z.object({ id: z.string(), state: z.enum(['live', 'leaving']), address: z.string() }),
    ),
  }),
  watchLine: z.discriminatedUnion('type', [
    z.object({ type: z.literal('changed'), object }),
    z.object({ type: z.literal('removed'), name: z.string(), version: z.number() }),
    z.object({ type: z.literal('bookmark'), version: z.number() }),
  ]),
};

export default schemas;
