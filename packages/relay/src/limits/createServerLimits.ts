import type { Clock, Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createRecentMap from '../crashes/createRecentMap';
import getProcessKey from '../crashes/getProcessKey';
import type { NamedLimit, ServerLimits } from './types';

const MAXIMUM_LIMITS = 2_048;
const MAXIMUM_AGE: Milliseconds = 600_000;
/** A limit that was taken back is reported for this long, so that no older report revives it. */
const REPORT_TIME: Milliseconds = 10_000;

interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when other hosts should know of a change: of what this host found, or learnt. */
  readonly onChange: (origin: 'found' | 'learnt') => void;
}

interface LimitEntry {
  readonly rate: number | null;
  readonly seenAt: Milliseconds;
}

/**
 * Holds the limits that servers name in their responses, as any host saw them last. The latest
 * response of a process holds, whichever host received it.
 */
export default function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, logger } = options;
  const entries = createRecentMap<string, LimitEntry>({
    maximumSize: MAXIMUM_LIMITS,
    maximumAge: MAXIMUM_AGE,
  });

  /** Sets a limit unless a later one is known; returns whether it changes. */
  function set(process: string, rate: number | null, seenAt: Milliseconds): boolean {
    const known = entries.get(process);
    if ((known === undefined && rate === null) || (known !== undefined && known.seenAt >= seenAt)) {
      return false;
    }
    entries.set(process, { rate, seenAt }, clock.now());
    return known?.rate !== rate;
  }

  return {
    record(server, rate) {
      const process = getProcessKey(server);
      if (set(process, rate ?? null, clock.now())) {
        logger.info({ server: server.id, limit: rate }, 'server limit changed');
        options.onChange('found');
      }
    },
    // Called for each server many times a second, mostly while none names a limit.
    tryGetRate: (server) =>
      entries.size === 0 ? undefined : (entries.get(getProcessKey(server))?.rate ?? undefined),
    merge(report) {
      const now = clock.now();
      const changed = Object.entries(report).filter(([process, { rate, age }]) =>
        set(process, rate, now - age),
      );
      if (changed.length > 0) {
        logger.info({ limits: Object.fromEntries(changed) }, 'server limits learnt');
        options.onChange('learnt');
      }
    },
    tryGetReport() {
      const now = clock.now();
      const reported = entries
        .list()
        .filter(([, { rate, seenAt }]) => rate !== null || now - seenAt <= REPORT_TIME)
        .map(([process, { rate, seenAt }]): readonly [string, NamedLimit] => [
          process,
          { rate, age: now - seenAt },
        ]);
      return reported.length === 0 ? undefined : Object.fromEntries(reported);
    },
  };
}
