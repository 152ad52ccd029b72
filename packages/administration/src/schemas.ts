import { z } from '@hono/zod-openapi';

const DEFAULT_PAGE_ITEMS = 100;
const MAXIMUM_PAGE_ITEMS = 1_000;

/** Schemas of requests. Responses have no schemas of their own; the compiler checks their types. */
const schemas = {
  page: z.object({
    limit: z.coerce.number().int().min(1).max(MAXIMUM_PAGE_ITEMS).default(DEFAULT_PAGE_ITEMS),
    after: z.string().optional(),
  }),
  drainTarget: z.object({
    kind: z.enum(['failureDomain', 'entryHost', 'backendServer']),
    id: z.string().min(1),
  }),
  moveRequest: z.object({
    pool: z.string().min(1),
    to: z.string().min(1),
    deadline: z.number().int().openapi({ description: 'Milliseconds since 1970' }),
    bakeTime: z.number().int().min(0).openapi({ description: 'Milliseconds' }),
    requestsPerSecond: z.number().positive().optional(),
  }),
  pool: z.object({ pool: z.string() }),
  request: z.object({ request: z.string() }),
  limit: z.object({
    limit: z.coerce.number().int().min(1).max(MAXIMUM_PAGE_ITEMS).default(DEFAULT_PAGE_ITEMS),
  }),
  settings: z.looseObject({}),
  /** Any response; the OpenAPI document declares it as an object. */
  response: z.any().openapi({ type: 'object' }),
} as const;

export default schemas;
