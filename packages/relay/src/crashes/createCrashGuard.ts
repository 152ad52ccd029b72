import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { TraitId } from '../types';
import createCrashEvidence from './createCrashEvidence';
import createQuarantineList from './createQuarantineList';
import findCrashingTraits from './findCrashingTraits';
import getProcessKey from './getProcessKey';
import getTraitKind from './getTraitKind';
import type { CrashGuard, RequestBlock } from './types';

/**
 * Time for which a trait stays suspected before it is quarantined. Answers that clear it, and the
 * ends that tell it from the traits beside it, reach all hosts of a fleet within this time.
 */
const SUSPENSION: Milliseconds = 1_000;

interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when other hosts should know of a change: of what this host found, or learnt. */
  readonly onChange: (origin: 'found' | 'learnt') => void;
}

interface Watcher {
  readonly traits: readonly TraitId[];
  readonly onQuarantined: () => void;
}

/**
 * Refuses requests with a trait under which one server after the other ends: first for a moment,
 * then, if nothing clears the trait, for the time of its quarantine.
 */
export default function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, logger } = options;
  const evidence = createCrashEvidence();
  const quarantines = createQuarantineList();
  const watchers = new Set<Watcher>();
  let suspendedSince = new Map<TraitId, Milliseconds>();
  let judgeTimer: Timer | undefined;

  function notifyWatchers(quarantined: readonly TraitId[]): void {
    [...watchers]
      .filter(({ traits }) => traits.some((trait) => quarantined.includes(trait)))
      .forEach(({ onQuarantined }) => onQuarantined());
  }

  /** The ends that led to a quarantine count no more once it is over. */
  function getSuspects(): ReturnType<typeof evidence.getSuspects> {
    const now = clock.now();
    return evidence.getSuspects((trait) => quarantines.tryGetLastEnd(trait, now) ?? -Infinity);
  }

  function listSuspected(): readonly TraitId[] {
    return findCrashingTraits({
      suspects: getSuspects(),
      isQuarantined: (trait) => quarantines.tryGetRemaining(trait, clock.now()) !== undefined,
      isKnown: (trait) => quarantines.getStrikes(trait) > 0,
      wasAnswered: evidence.wasAnswered,
    });
  }

  function quarantine(trait: TraitId): void {
    const processes = [...(getSuspects().get(trait) ?? [])];
    quarantines.add(trait, clock.now());
    logger.warn({ trait, processes }, 'requests quarantined');
    notifyWatchers([trait]);
    options.onChange('found');
  }

  /**
   * Suspends the traits that are suspected and quarantines the first of them once its time is over.
   * The others are judged anew, since the quarantined one may explain their ends.
   */
  function judge(): void {
    judgeTimer?.cancel();
    judgeTimer = undefined;
    const now = clock.now();
    let suspected = listSuspected();
    const getSince = (trait: TraitId): Milliseconds => suspendedSince.get(trait) ?? now;
    while (suspected.length > 0 && now - getSince(suspected[0]!) >= SUSPENSION) {
      quarantine(suspected[0]!);
      suspected = listSuspected();
    }
    const before = suspendedSince;
    suspendedSince = new Map(suspected.map((trait) => [trait, getSince(trait)]));
    suspected
      .filter((trait) => !before.has(trait))
      .forEach((trait) => logger.info({ trait }, 'requests suspended'));
    if (suspected.length > 0) {
      const dueIn = getSince(suspected[0]!) + SUSPENSION - now;
      judgeTimer = clock.after(Math.max(dueIn, 1), judge);
    }
  }

  function handleFound(isNew: boolean): void {
    if (isNew) {
      judge();
      options.onChange('found');
    }
  }

  function tryGetBlock(traits: readonly TraitId[]): RequestBlock | undefined {
    const now = clock.now();
    for (const trait of traits) {
      const remaining = quarantines.tryGetRemaining(trait, now);
      if (remaining !== undefined) {
        return { kind: 'quarantined', trait, remaining };
      }
      const since = suspendedSince.get(trait);
      if (since !== undefined) {
        return { kind: 'suspended', trait, remaining: Math.max(since + SUSPENSION - now, 0) };
      }
    }
    return undefined;
  }

  return {
    tryGetBlock,
    recordAnswered(traits) {
      handleFound(evidence.recordAnswered(traits, clock.now()));
    },
    recordBroken(server, traits) {
      // A part that is refused already explains the end, so that the rest need not be suspected. A
      // content that is refused does not: its request may have a part that ends servers.
      const refusedParts = traits.filter(
        (trait) => getTraitKind(trait) === 'promptPart' && tryGetBlock([trait]) !== undefined,
      );
      const suspects = refusedParts.length > 0 ? refusedParts : traits;
      handleFound(evidence.recordSuspects(getProcessKey(server), suspects, clock.now()));
    },
    recordEnded(server) {
      handleFound(evidence.recordEnded(getProcessKey(server), clock.now()));
    },
    recordListed(servers) {
      const unconfirmed = evidence.listUnconfirmed();
      if (unconfirmed.length > 0) {
        const listed = new Set(servers.map(getProcessKey));
        const ended = unconfirmed.filter(
          (process) => !listed.has(process) && evidence.recordEnded(process, clock.now()),
        );
        handleFound(ended.length > 0);
      }
    },
    watch(traits, onQuarantined) {
      const watcher = { traits, onQuarantined };
      watchers.add(watcher);
      return () => watchers.delete(watcher);
    },
    merge(report) {
      const now = clock.now();
      const quarantined = quarantines.merge(report.quarantined, now);
      const result = evidence.merge(report, now);
      quarantined.forEach((trait) => logger.warn({ trait, from: 'host' }, 'requests quarantined'));
      notifyWatchers(quarantined);
      if (result !== 'nothing' || quarantined.length > 0) {
        judge();
        options.onChange(result === 'cleared' ? 'found' : 'learnt');
      }
    },
    tryGetReport() {
      const now = clock.now();
      const quarantined = quarantines.list(now);
      const blocked = [...suspendedSince.keys(), ...Object.keys(quarantined)];
      const { ended, traits } = evidence.getRecent(now, blocked);
      const isEmpty = [ended, Object.keys(traits), Object.keys(quarantined)].every(
        ({ length }) => length === 0,
      );
      return isEmpty ? undefined : { ended, traits, quarantined };
    },
    countQuarantined: () => Object.keys(quarantines.list(clock.now())).length,
  };
}
