import type { Clock } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import getProcessKey from '../crashes/getProcessKey';
import createLatestRates from './createLatestRates';
import type { ServerLimits } from './types';

interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when other hosts should know of a change: of what this host found, or learnt. */
  readonly onChange: (origin: 'found' | 'learnt') => void;
}

/** Holds the limits that processes of servers name in their responses. */
export default function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, logger } = options;
  const rates = createLatestRates(clock);

  return {
    record(server, rate) {
      if (rates.record(getProcessKey(server), rate)) {
        logger.info({ server: server.id, limit: rate }, 'server limit changed');
        options.onChange('found');
      }
    },
    // Called for each server many times a second, mostly while none names a limit.
    tryGetRate: (server) => (rates.isEmpty() ? undefined : rates.tryGet(getProcessKey(server))),
    merge(report) {
      const changed = rates.merge(report);
      if (changed.length > 0) {
        logger.info({ limits: Object.fromEntries(changed) }, 'server limits learnt');
        options.onChange('learnt');
      }
    },
    tryGetReport: rates.tryGetReport,
  };
}
