import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { AuthenticatedCaller, ProblemType } from './types';
import type { SettingsView } from '../types';
import problemTypes from './problemTypes';

const BEARER_TOKEN_PATTERN = /^Bearer\s+(.+)$/i;

/**
 * Finds the customer by API key and determines the tier. The highest allowed tier is the route's
 * where it states one, otherwise the customer's own; the caller may request a lower one.
 */
export default function authenticateCaller(
  settings: SettingsView,
  authorization: string | undefined,
  requestedTier: string | undefined,
  routeTier?: string,
): Outcome<AuthenticatedCaller, ProblemType> {
  const apiKey = BEARER_TOKEN_PATTERN.exec(authorization ?? '')?.[1];
  const customer = apiKey === undefined ? undefined : settings.tryFindCustomer(apiKey);
  if (customer === undefined) {
    return fail(problemTypes.unknownApiKey);
  }
  const highestAllowedRank = settings.getTierRank(routeTier ?? customer.tier);
  if (
    requestedTier !== undefined &&
    !settings.settings.tiers.some(({ id }) => id === requestedTier)
  ) {
    return fail(problemTypes.unknownTier);
  }
  const rank =
    requestedTier === undefined ? highestAllowedRank : settings.getTierRank(requestedTier);
  if (rank < highestAllowedRank) {
    return fail(problemTypes.tierNotAllowed);
  }
  return ok({ customer, rank, tier: settings.getTier(rank) });
}
