import { createRoute } from '@hono/zod-openapi';
import type { OpenAPIHono } from '@hono/zod-openapi';
import type { Context } from 'hono';
import administrationProblems from '../administrationProblems';
import describeResponses from '../describeResponses';
import schemas from '../schemas';
import sendAdministrationProblem from '../sendAdministrationProblem';
import type { AdministrationEnvironment, AdministrationServices, MoveError } from '../types';

function sendMoveError(context: Context, error: MoveError): never {
  switch (error.kind) {
    case 'unknownPool':
    case 'unknownVersion':
    case 'noMove':
      return sendAdministrationProblem(context, administrationProblems.notFound, {
        detail: error.kind,
      });
    case 'storeFailed':
      return error.error.kind === 'outcomeUnknown'
        ? sendAdministrationProblem(context, administrationProblems.outcomeUnknown)
        : sendAdministrationProblem(context, administrationProblems.storeUnavailable, {
            detail: error.error.kind,
          });
    case 'moveUnderWay':
    case 'sameVersion':
    case 'deadlineTooNear':
      return sendAdministrationProblem(context, administrationProblems.moveRefused, {
        detail: error,
      });
    default:
      return error satisfies never;
  }
}

/** Adds the routes that list, start and cancel moves. */
export default function addMoveRoutes(
  application: OpenAPIHono<AdministrationEnvironment>,
  services: AdministrationServices,
): void {
  application.openapi(
    createRoute({
      method: 'get',
      path: '/moves',
      summary: 'The latest move of each pool',
      responses: describeResponses('Records with the share in force'),
    }),
    (context) => context.json({ items: services.status().moves }, 200),
  );

  application.openapi(
    createRoute({
      method: 'post',
      path: '/moves',
      summary: "Move a pool's traffic to another version by a deadline",
      request: { body: { content: { 'application/json': { schema: schemas.moveRequest } } } },
      responses: describeResponses('The record with its plan'),
    }),
    async (context) => {
      const started = await services.startMove(context.req.valid('json'));
      return started.kind === 'ok'
        ? context.json({ ...started.value }, 200)
        : sendMoveError(context, started.error);
    },
  );

  application.openapi(
    createRoute({
      method: 'delete',
      path: '/moves/{pool}',
      summary: "Cancel a pool's move: the old version carries everything again",
      request: { params: schemas.pool },
      responses: describeResponses('The record'),
    }),
    async (context) => {
      const { pool } = context.req.valid('param');
      const cancelled = await services.cancelMove(pool, context.get('administrator').name);
      return cancelled.kind === 'ok'
        ? context.json({ ...cancelled.value }, 200)
        : sendMoveError(context, cancelled.error);
    },
  );
}
