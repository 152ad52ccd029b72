import type { InFlightRequest } from '@rattanreel/scheduling';
import type { GrantedRequest } from './types';

/** What a new scheduler is told of a request in hand. */
export default function toInFlightRequest({
  queued,
  grant,
  firstTokenAfter,
}: GrantedRequest): InFlightRequest {
  const { arrival } = queued.task;
  return {
    request: arrival.request,
    backendServer: grant.backendServer,
    tier: arrival.tier,
    customer: arrival.customer,
    promptTokens: arrival.promptTokens,
    maximumOutputTokens: arrival.maximumOutputTokens,
    prefillDone: firstTokenAfter !== undefined,
  };
}
