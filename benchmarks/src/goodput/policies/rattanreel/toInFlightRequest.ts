import type { InFlightRequest } from '@rattanreel/scheduling';
import type { GrantedRequest } from './types';

/** Converts a granted request to the form in which it is reported to a new scheduler. */
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
