import createBrittlePools from '../limits/createBrittlePools';
import createServerLimits from '../limits/createServerLimits';
import type { BrittlePools, ServerLimits } from '../limits/types';
import createCrashGuard from '../crashes/createCrashGuard';
import type { CrashGuard } from '../crashes/types';
import createRollouts from '../rollouts/createRollouts';
import type { Rollouts } from '../rollouts/types';
import type { Findings } from '../findings/types';

interface FindingsOptions extends Omit<Parameters<typeof createRollouts>[0], 'onFound'> {
  /** Called when other hosts should know of a change: of what this host found, or learnt. */
  readonly onChange: (origin: 'found' | 'learnt') => void;
}

interface FindingsParts extends Findings {
  readonly crashGuard: CrashGuard;
  readonly serverLimits: ServerLimits;
  readonly brittlePools: BrittlePools;
  readonly rollouts: Rollouts;
}

/** Joins what hosts tell each other about requests, servers and versions, so that it needs one message. */
export default function createFindings(options: FindingsOptions): FindingsParts {
  const crashGuard = createCrashGuard(options);
  const serverLimits = createServerLimits(options);
  const brittlePools = createBrittlePools(options);
  const rollouts = createRollouts({ ...options, onFound: () => options.onChange('found') });

  return {
    crashGuard,
    serverLimits,
    brittlePools,
    rollouts,
    merge(report) {
      if (report.crashes !== undefined) {
        crashGuard.merge(report.crashes);
      }
      if (report.limits !== undefined) {
        serverLimits.merge(report.limits);
      }
      if (report.brittle !== undefined) {
        brittlePools.merge(report.brittle);
      }
      if (report.rollouts !== undefined) {
        rollouts.merge(report.rollouts);
      }
    },
    tryGetReport() {
      const parts = {
        crashes: crashGuard.tryGetReport(),
        limits: serverLimits.tryGetReport(),
        brittle: brittlePools.tryGetReport(),
        rollouts: rollouts.tryGetReport(),
      };
      const isEmpty = Object.values(parts).every((part) => part === undefined);
      return isEmpty ? undefined : { kind: 'findings', ...parts };
    },
  };
}
