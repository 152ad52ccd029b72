import { createRoute } from '@hono/zod-openapi';
import type { OpenAPIHono } from '@hono/zod-openapi';
import administrationProblems from '../administrationProblems';
import describeResponses from '../describeResponses';
import paginate from '../paginate';
import schemas from '../schemas';
import sendAdministrationProblem from '../sendAdministrationProblem';
import type { AdministrationEnvironment, AdministrationServices } from '../types';

interface Identified {
  readonly id: string;
}

/** Adds the read-only routes: status, hosts, failure domains, pools, backend servers, customers. */
export default function addStatusRoutes(
  application: OpenAPIHono<AdministrationEnvironment>,
  services: AdministrationServices,
): void {
  application.openapi(
    createRoute({
      method: 'get',
      path: '/status',
      summary: 'The deployment as this entry host sees it',
      responses: describeResponses(
        'Configuration in force, failure domains, hosts, pools and moves',
      ),
    }),
    (context) =>
      services.tryGetSettings() === undefined
        ? sendAdministrationProblem(context, administrationProblems.noConfiguration)
        : context.json({ ...services.status() }, 200),
  );

  function addListRoute(
    path: string,
    summary: string,
    getItems: () => readonly Identified[],
  ): void {
    application.openapi(
      createRoute({
        method: 'get',
        path,
        summary,
        request: { query: schemas.page },
        responses: describeResponses('One page; `next` is the `after` of the following one'),
      }),
      (context) => {
        const { limit, after } = context.req.valid('query');
        return services.tryGetSettings() === undefined
          ? sendAdministrationProblem(context, administrationProblems.noConfiguration)
          : context.json({ ...paginate(getItems(), limit, after) }, 200);
      },
    );
  }

  function getSettings() {
    return services.tryGetSettings()!.settings;
  }

  addListRoute('/hosts', 'Entry hosts', () => services.status().hosts);
  addListRoute('/failure-domains', 'Failure domains', () => services.status().failureDomains);
  addListRoute('/pools', 'Pools', () => getSettings().pools);
  addListRoute('/backend-servers', 'Backend servers', () => getSettings().backendServers);
  addListRoute('/customers', 'Customers, without their key hashes', () =>
    getSettings().customers.map(({ id, weight, tier }) => ({ id, weight, tier })),
  );
}
