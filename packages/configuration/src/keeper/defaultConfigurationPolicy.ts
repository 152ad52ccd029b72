import type { ConfigurationPolicy } from '../types';

/**
 * A starting host selects its configuration within a second of its first answer. A lost fetch costs
 * half a second.
 */
const defaultConfigurationPolicy: ConfigurationPolicy = {
  startTimeout: 1_000,
  fetchTimeout: 500,
  retryInterval: 1_000,
  recordInterval: 2_000,
  historyLength: 8,
};

export default defaultConfigurationPolicy;
