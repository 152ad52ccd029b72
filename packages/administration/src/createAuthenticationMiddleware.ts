import { createMiddleware } from 'hono/factory';
import administrationProblems from './administrationProblems';
import sendAdministrationProblem from './sendAdministrationProblem';
import type { AdministrationEnvironment, AdministrationServices } from './types';

const BEARER_TOKEN_PATTERN = /^Bearer\s+(.+)$/i;
const READ_ONLY_METHODS: readonly string[] = ['GET', 'HEAD'];

/** Creates middleware that admits a call if its token is known and its role allows the method. */
export default function createAuthenticationMiddleware(services: AdministrationServices) {
  return createMiddleware<AdministrationEnvironment>(async (context, next) => {
    const token = BEARER_TOKEN_PATTERN.exec(context.req.header('authorization') ?? '')?.[1];
    const administrator = token === undefined ? undefined : services.tryFindAdministrator(token);
    if (administrator === undefined) {
      return sendAdministrationProblem(context, administrationProblems.unknownToken);
    }
    if (administrator.role !== 'operator' && !READ_ONLY_METHODS.includes(context.req.method)) {
      return sendAdministrationProblem(context, administrationProblems.operatorNeeded);
    }
    context.set('administrator', administrator);
    return next();
  });
}
