import createBufferedResponse from './createBufferedResponse';
import createResumableResponse from './createResumableResponse';
import createStreamedResponse from './createStreamedResponse';
import type { CallerExchange, RequestPlan, ResponseRelay } from './types';

/** Creates the relay of a response as the route of its request asks for. */
export default function createResponseRelay(
  plan: RequestPlan,
  exchange: CallerExchange,
): ResponseRelay {
  if (plan.route.kind !== 'stream') {
    return createBufferedResponse(exchange);
  }
  return plan.route.isResumable
    ? createResumableResponse(exchange)
    : createStreamedResponse(exchange);
}
