import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { AuthenticatedCaller, ProblemType } from './types';
import type { SettingsView } from '../types';
import problemTypes from './problemTypes';

const BEARER = /^Bearer\s+(.+)$/i;

/**
 * Finds the customer by API key, and the tier: the customer's own, or a lower one that the caller
 * asks for, or the route's where it states one.
 */
export default function authenticateCaller(
  settings: SettingsView,
  authorization: string | undefined,
  askedTier: string | undefined,
  routeTier?: string,
): Outcome<AuthenticatedCaller, ProblemType> {
  const apiKey = BEARER.exec(authorization ?? '')?.[1];
  const customer = apiKey === undefined ? undefined : settings.tryFindCustomer(apiKey);
  if (customer === undefined) {
    return fail(problemTypes.unknownApiKey);
  }
  const highest = settings.rankOf(routeTier ?? customer.tier);
  if (askedTier !== undefined && !settings.settings.tiers.some(({ id }) => id === askedTier)) {
    return fail(problemTypes.unknownTier);
  }
  const rank = askedTier === undefined ? highest : settings.rankOf(askedTier);
  if (rank < highest) {
    return fail(problemTypes.tierNotAllowed);
  }
  return ok({ customer, rank, tier: settings.tierAt(rank) });
}
