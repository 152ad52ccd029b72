import { OpenAPIHono } from '@hono/zod-openapi';
import administrationProblems from './administrationProblems';
import createAuthenticationMiddleware from './createAuthenticationMiddleware';
import addDecisionRoutes from './routes/addDecisionRoutes';
import addDrainRoutes from './routes/addDrainRoutes';
import addMoveRoutes from './routes/addMoveRoutes';
import addSettingsRoutes from './routes/addSettingsRoutes';
import addStatusRoutes from './routes/addStatusRoutes';
import sendAdministrationProblem from './sendAdministrationProblem';
import type { AdministrationEnvironment, AdministrationServices } from './types';

const OPENAPI_PATH = '/openapi.json';

/** Creates the administration API; the caller mounts it below a versioned path. */
export default function createAdministrationApplication(
  services: AdministrationServices,
): OpenAPIHono<AdministrationEnvironment> {
  const application = new OpenAPIHono<AdministrationEnvironment>({
    defaultHook(result, context) {
      if (result.success) {
        return undefined;
      }
      const detail = result.error.issues.map(({ path, message }) => ({
        field: path.join('.'),
        message,
      }));
      return sendAdministrationProblem(context, administrationProblems.malformed, { detail });
    },
  });
  application.doc31(OPENAPI_PATH, {
    openapi: '3.1.0',
    info: { title: 'rattanreel administration', version: '1' },
  });
  application.use(async (context, next) =>
    context.req.path.endsWith(OPENAPI_PATH)
      ? next()
      : createAuthenticationMiddleware(services)(context, next),
  );
  addStatusRoutes(application, services);
  addSettingsRoutes(application, services);
  addDrainRoutes(application, services);
  addMoveRoutes(application, services);
  addDecisionRoutes(application, services);
  return application;
}
