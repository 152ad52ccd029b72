import type { Clock } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createLatestRates from './createLatestRates';
import type { BrittlePools } from './types';

interface BrittlePoolsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when other hosts should know of a change: of what this host found, or learnt. */
  readonly onChange: (origin: 'found' | 'learnt') => void;
}

/** Holds the pools whose servers say in their responses that they are brittle. */
export default function createBrittlePools(options: BrittlePoolsOptions): BrittlePools {
  const { clock, logger } = options;
  const rates = createLatestRates(clock);

  return {
    record({ pool }, turnAways) {
      if (rates.record(pool, turnAways)) {
        logger.info({ pool, turnAways }, 'brittleness of pool changed');
        options.onChange('found');
      }
    },
    isBrittle: (pool) => rates.tryGet(pool) !== undefined,
    merge(report) {
      const changed = rates.merge(report);
      if (changed.length > 0) {
        logger.info({ pools: Object.fromEntries(changed) }, 'brittleness of pools learnt');
        options.onChange('learnt');
      }
    },
    tryGetReport: rates.tryGetReport,
  };
}
