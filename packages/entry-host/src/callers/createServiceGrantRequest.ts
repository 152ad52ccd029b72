import { createRequestLifecycle } from '@rattanreel/dispatch';
import type { CallerServices, ServiceJob } from './types';
import type { GrantRequest } from '../scheduling/types';

/** A call of a plain service counts as one prompt token and one output token. */
const TOKENS_PER_CALL = 1;

/** Creates the grant request for one call of a plain service. */
export default function createServiceGrantRequest(
  services: CallerServices,
  job: ServiceJob,
): GrantRequest {
  return {
    request: job.request,
    pool: job.pool.id,
    tier: job.caller.rank,
    customer: job.caller.customer.id,
    customerWeight: job.caller.customer.weight,
    route: `${job.method} ${job.route.pathPrefix}`,
    promptTokens: TOKENS_PER_CALL,
    maximumOutputTokens: TOKENS_PER_CALL,
    prefixHashes: [],
    arrivedAt: services.clock.now(),
    firstTokenDueAt: job.dueAt,
    dueAt: job.dueAt,
    lifecycle: createRequestLifecycle(),
    signal: job.signal,
  };
}
