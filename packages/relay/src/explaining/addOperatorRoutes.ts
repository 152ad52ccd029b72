import type { Hono } from 'hono';
import { bearerAuth } from 'hono/bearer-auth';
import { bodyLimit } from 'hono/body-limit';
import { z } from 'zod';
import isEqualToken from './isEqualToken';
import type { OperatorAccess } from './types';

const BASE_PATH = '/operator/v1';
const MAXIMUM_BODY_BYTES = 65_536;
const MAXIMUM_PARTS = 256;

const querySchema = z.strictObject({
  hostName: z.string(),
  target: z.string().startsWith('/'),
  method: z.string().optional(),
  key: z.string().optional(),
  customer: z.string().optional(),
  deadline: z.number().positive().optional(),
  promptTokens: z.int().nonnegative().optional(),
  outputTokens: z.int().nonnegative().optional(),
  promptParts: z.array(z.string()).max(MAXIMUM_PARTS).optional(),
  body: z.string().optional(),
});

/** Adds the operators' queries, which need a bearer token and change nothing. */
export default function addOperatorRoutes(
  application: Hono,
  { token, explain }: OperatorAccess,
): void {
  application.use(
    `${BASE_PATH}/*`,
    bearerAuth({ verifyToken: (given) => isEqualToken(given, token) }),
    bodyLimit({ maxSize: MAXIMUM_BODY_BYTES }),
  );
  application.post(`${BASE_PATH}/explain-request`, async (context) => {
    const body: unknown = await context.req.json().catch(() => undefined);
    const query = querySchema.safeParse(body);
    return query.success
      ? context.json(explain(query.data))
      : context.json({ code: 'malformedQuery', detail: z.prettifyError(query.error) }, 400);
  });
}
