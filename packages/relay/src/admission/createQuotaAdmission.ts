import createLocalAdmission from './createLocalAdmission';
import createQuotaWait from './createQuotaWait';
import type { LocalAdmission } from './types';

/** Creates the admission to this host's own pools, whose requests may wait for their quota. */
export default function createQuotaAdmission(
  options: Parameters<typeof createLocalAdmission>[0],
): LocalAdmission {
  return createQuotaWait({ ...options, admission: createLocalAdmission(options) });
}
