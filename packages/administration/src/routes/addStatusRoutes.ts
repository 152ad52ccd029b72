import { createRoute } from '@hono/zod-openapi';
import type { OpenAPIHono } from '@hono/zod-openapi';
import administrationProblems from '../administrationProblems';
import answers from '../answers';
import pageOf from '../pageOf';
import schemas from '../schemas';
import sendAdministrationProblem from '../sendAdministrationProblem';
import type { AdministrationEnvironment, AdministrationServices } from '../types';

interface Identified {
  readonly id: string;
}

/** Adds the routes that only read: status, hosts, failure domains, pools, backend servers, customers. */
export default function addStatusRoutes(
  application: OpenAPIHono<AdministrationEnvironment>,
  services: AdministrationServices,
): void {
  application.openapi(
    createRoute({
      method: 'get',
      path: '/status',
      summary: 'The deployment as this entry host sees it',
      responses: answers('Configuration in force, failure domains, hosts, pools and moves'),
    }),
    (context) =>
      services.tryGetSettings() === undefined
        ? sendAdministrationProblem(context, administrationProblems.noConfiguration)
        : context.json({ ...services.status() }, 200),
  );

  function addList(path: string, summary: string, list: () => readonly Identified[]): void {
    application.openapi(
      createRoute({
        method: 'get',
        path,
        summary,
        request: { query: schemas.page },
        responses: answers('One page; `next` is the `after` of the following one'),
      }),
      (context) => {
        const { limit, after } = context.req.valid('query');
        return services.tryGetSettings() === undefined
          ? sendAdministrationProblem(context, administrationProblems.noConfiguration)
          : context.json({ ...pageOf(list(), limit, after) }, 200);
      },
    );
  }

  function settings() {
    return services.tryGetSettings()!.settings;
  }

  addList('/hosts', 'Entry hosts', () => services.status().hosts);
  addList('/failure-domains', 'Failure domains', () => services.status().failureDomains);
  addList('/pools', 'Pools', () => settings().pools);
  addList('/backend-servers', 'Backend servers', () => settings().backendServers);
  addList('/customers', 'Customers, without their key hashes', () =>
    settings().customers.map(({ id, weight, tier }) => ({ id, weight, tier })),
  );
}
