import type { InFlightRequest } from '@rattanreel/scheduling';
import type { HeldEntry } from './types';

/** What a new scheduler is told of a request in hand. */
export default function toInFlight({ queued, grant, firstTokenAfter }: HeldEntry): InFlightRequest {
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
