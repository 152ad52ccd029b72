import type { EngineModelOptions } from './types';

const DEFAULTS = {
  version: 'v1',
  cold: false,
  coldStart: {},
  reportLag: 500,
  cacheEventDelay: 300,
  cacheEventLossShare: 0.05,
  notifyEveryToken: false,
} as const;

/** Returns the options with defaults filled in. */
export default function applyDefaultOptions(
  options: EngineModelOptions,
): Required<EngineModelOptions> {
  return { ...DEFAULTS, ...options };
}
