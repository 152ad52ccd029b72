import type { ConfigurationPolicy } from '../types';

/**
 * A starting host that lacks some answers selects its configuration one second after its first
 * request, or as soon as it receives one after that. A lost fetch costs half a second.
 */
const defaultConfigurationPolicy: ConfigurationPolicy = {
  startTimeout: 1_000,
  fetchTimeout: 500,
  retryInterval: 1_000,
  recordInterval: 2_000,
  historyLength: 8,
};

export default defaultConfigurationPolicy;
