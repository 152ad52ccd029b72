import type { RelayCustomer, ShareKey } from '../types';
import type { ShareTerms } from './types';

const DEFAULT_WEIGHT = 1;
/** Larger than the tier of any route: a customer's tier takes precedence over the route's. */
const CUSTOMER_RANK_STEP = 100;

/** Creates the terms on which customers share slots; all are equal without a configuration. */
export default function createShareTerms(customers?: readonly RelayCustomer[]): ShareTerms {
  const customersByName = new Map((customers ?? []).map((customer) => [customer.name, customer]));

  function tryGetCustomer(key: ShareKey): RelayCustomer | undefined {
    return customersByName.get(key.slice(key.indexOf(' ') + 1));
  }

  return {
    hasCustomers: customers !== undefined,
    getWeight: (key) => tryGetCustomer(key)?.weight ?? DEFAULT_WEIGHT,
    getTierRank(key) {
      const routeTier = Number(key.slice(0, key.indexOf(' ')));
      return (tryGetCustomer(key)?.tier ?? routeTier) * CUSTOMER_RANK_STEP + routeTier;
    },
  };
}
