import { createRoute } from '@hono/zod-openapi';
import type { OpenAPIHono } from '@hono/zod-openapi';
import type { DrainTarget } from '@rattanreel/configuration';
import describeResponses from '../describeResponses';
import schemas from '../schemas';
import sendChangeError from '../sendChangeError';
import type { AdministrationEnvironment, AdministrationServices } from '../types';

/** Whether the active settings contain the target; a drain of anything else would never end. */
function isKnownTarget(services: AdministrationServices, { kind, id }: DrainTarget): boolean {
  const settings = services.tryGetSettings()?.settings;
  switch (kind) {
    case 'failureDomain':
      return settings?.failureDomains.some((domain) => domain.id === id) ?? false;
    case 'entryHost':
      return settings?.entryHosts.some((host) => host.id === id) ?? false;
    case 'backendServer':
      return settings?.backendServers.some((server) => server.id === id) ?? false;
    default:
      return kind satisfies never;
  }
}

/**
 * Adds the routes that drain and restore failure domains, entry hosts and backend servers. A drain
 * works without the store: it takes effect in this failure domain at once and is recorded later.
 */
export default function addDrainRoutes(
  application: OpenAPIHono<AdministrationEnvironment>,
  services: AdministrationServices,
): void {
  application.openapi(
    createRoute({
      method: 'post',
      path: '/drains',
      summary: 'Take a failure domain, entry host or backend server out',
      request: { body: { content: { 'application/json': { schema: schemas.drainTarget } } } },
      responses: describeResponses(
        'Whether it is recorded, or in force here only until the store is back',
      ),
    }),
    async (context) => {
      const target = context.req.valid('json');
      const changeId = crypto.randomUUID();
      const author = context.get('administrator').name;
      if (!isKnownTarget(services, target)) {
        return sendChangeError(context, { kind: 'unknownDrainTarget', target });
      }
      // A restriction must not depend on the store, so it takes effect before the store is called.
      services.drainLocally(target, author, changeId);
      const applied = await services.changeSettings(
        { kind: 'drain', target, localDrain: changeId },
        author,
        changeId,
        undefined,
      );
      if (applied.kind === 'ok') {
        const { generation } = applied.value.configuration;
        return context.json({ result: 'recorded', generation }, 200);
      }
      if (applied.error.kind === 'unknownDrainTarget') {
        return sendChangeError(context, applied.error);
      }
      return context.json({ result: 'inForceHereOnly', reason: applied.error.kind }, 200);
    },
  );

  application.openapi(
    createRoute({
      method: 'delete',
      path: '/drains/{kind}/{id}',
      summary: 'Bring a failure domain, entry host or backend server back',
      request: { params: schemas.drainTarget },
      responses: describeResponses('The generation accepted'),
    }),
    async (context) => {
      const target = context.req.valid('param');
      const applied = await services.changeSettings(
        { kind: 'restore', target },
        context.get('administrator').name,
        crypto.randomUUID(),
        undefined,
      );
      return applied.kind === 'ok'
        ? context.json({ generation: applied.value.configuration.generation }, 200)
        : sendChangeError(context, applied.error);
    },
  );
}
