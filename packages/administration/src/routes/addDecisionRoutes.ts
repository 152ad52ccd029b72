import { createRoute } from '@hono/zod-openapi';
import type { OpenAPIHono } from '@hono/zod-openapi';
import describeResponses from '../describeResponses';
import schemas from '../schemas';
import type { AdministrationEnvironment, AdministrationServices } from '../types';

/** Adds the routes that return recorded decisions with their reasons. */
export default function addDecisionRoutes(
  application: OpenAPIHono<AdministrationEnvironment>,
  services: AdministrationServices,
): void {
  application.openapi(
    createRoute({
      method: 'get',
      path: '/requests/{request}/decisions',
      summary: 'Every decision kept about one request, from all entry hosts that answer',
      request: { params: schemas.request },
      responses: describeResponses('Decisions, oldest first'),
    }),
    async (context) => {
      const { request } = context.req.valid('param');
      return context.json({ items: await services.explain(request) }, 200);
    },
  );

  application.openapi(
    createRoute({
      method: 'get',
      path: '/decisions',
      summary: 'The latest decisions of this entry host',
      request: { query: schemas.limit },
      responses: describeResponses('Decisions, newest first'),
    }),
    (context) => {
      const { limit } = context.req.valid('query');
      return context.json({ items: services.getRecentDecisions(limit) }, 200);
    },
  );
}
