import { createRoute, z } from '@hono/zod-openapi';
import type { OpenAPIHono } from '@hono/zod-openapi';
import { parseDeploymentSettings } from '@rattanreel/configuration';
import administrationProblems from '../administrationProblems';
import describeResponses from '../describeResponses';
import schemas from '../schemas';
import sendAdministrationProblem from '../sendAdministrationProblem';
import sendChangeError from '../sendChangeError';
import type { AdministrationEnvironment, AdministrationServices } from '../types';

const ENTITY_TAG_PATTERN = /^"(\d+)"$/;

/** Adds the settings routes; a change states the generation that it is based on in `If-Match`. */
export default function addSettingsRoutes(
  application: OpenAPIHono<AdministrationEnvironment>,
  services: AdministrationServices,
): void {
  application.openapi(
    createRoute({
      method: 'get',
      path: '/settings',
      summary: 'The settings in force; the ETag is their generation',
      responses: describeResponses('Generation and settings'),
    }),
    (context) => {
      const activeSettings = services.tryGetSettings();
      if (activeSettings === undefined) {
        return sendAdministrationProblem(context, administrationProblems.noConfiguration);
      }
      context.header('etag', `"${activeSettings.generation}"`);
      return context.json({ ...activeSettings }, 200);
    },
  );

  application.openapi(
    createRoute({
      method: 'put',
      path: '/settings',
      summary: 'Replace the settings if nobody else has since the generation in If-Match',
      request: {
        headers: z.object({
          'if-match': z.string().regex(ENTITY_TAG_PATTERN),
          'x-change-id': z.string().min(16).optional(),
        }),
        body: { content: { 'application/json': { schema: schemas.settings } } },
      },
      responses: describeResponses('The generation accepted'),
    }),
    async (context) => {
      const headers = context.req.valid('header');
      const parsed = parseDeploymentSettings(context.req.valid('json'));
      if (parsed.kind === 'error') {
        return sendAdministrationProblem(context, administrationProblems.malformed, {
          detail: parsed.error,
        });
      }
      const applied = await services.changeSettings(
        { kind: 'replaceSettings', settings: parsed.value },
        context.get('administrator').name,
        headers['x-change-id'] ?? crypto.randomUUID(),
        Number(ENTITY_TAG_PATTERN.exec(headers['if-match'])?.[1]),
      );
      if (applied.kind === 'error') {
        return sendChangeError(context, applied.error);
      }
      const { kind, configuration } = applied.value;
      context.header('etag', `"${configuration.generation}"`);
      return context.json({ result: kind, generation: configuration.generation }, 200);
    },
  );
}
