import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { TraitId } from '../types';
import createCrashEvidence from './createCrashEvidence';
import createQuarantineList from './createQuarantineList';
import findCrashingTraits from './findCrashingTraits';
import getProcessKey from './getProcessKey';
import getTraitKind from './getTraitKind';
import createSuspensionList from './createSuspensionList';
import listRivals from './listRivals';
import type { CrashGuard, RequestBlock } from './types';

/**
 * Time for which a trait stays suspected before it is quarantined. Answers that clear it, and the
 * ends that tell it from the traits beside it, reach all hosts of a fleet within this time.
 */
const SUSPENSION: Milliseconds = 1_000;
/**
 * A content that crashes servers has callers who send it again; a sound one that was at the same
 * servers by chance comes again at most once, when its caller retries it. Of contents with the same
 * ends, one is quarantined when it has arrived this many times more often than the others.
 */
const ARRIVALS_LEAD = 2;
/** Time after which one of them is quarantined without such a lead. */
const MAXIMUM_SUSPENSION: Milliseconds = 4_000;

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
  const suspensions = createSuspensionList();
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

  function isQuarantined(trait: TraitId): boolean {
    return quarantines.tryGetRemaining(trait, clock.now()) !== undefined;
  }

  /** Lists the suspected traits, the most likely first, each with those that explain its ends as well. */
  function listSuspected(): readonly (readonly TraitId[])[] {
    const view = { suspects: getSuspects(), isQuarantined, wasAnswered: evidence.wasAnswered };
    const isKnown = (trait: TraitId): boolean => quarantines.getStrikes(trait) > 0;
    return findCrashingTraits({ ...view, isKnown }).map((trait) =>
      isKnown(trait) ? [trait] : listRivals(trait, view),
    );
  }

  /** Returns the trait to be quarantined, or when one of the rivals is to be. */
  function decide(rivals: readonly TraitId[]): TraitId | Milliseconds {
    const now = clock.now();
    const since = Math.min(...rivals.map((trait) => suspensions.tryGetSince(trait) ?? now));
    const ordered = [...rivals].sort(
      (left, right) =>
        suspensions.countArrivals(right) - suspensions.countArrivals(left) ||
        (left < right ? -1 : 1),
    );
    const [first, second] = ordered.map((trait) => suspensions.countArrivals(trait));
    const isClear = second === undefined || first! - second >= ARRIVALS_LEAD;
    const decidedAt = since + (isClear ? SUSPENSION : MAXIMUM_SUSPENSION);
    return now >= decidedAt ? ordered[0]! : decidedAt;
  }

  function quarantine(trait: TraitId): void {
    const processes = [...(getSuspects().get(trait) ?? [])];
    quarantines.add(trait, clock.now());
    const arrivals = suspensions.countArrivals(trait);
    logger.warn({ trait, processes, arrivals }, 'requests quarantined');
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
    let suspected = listSuspected();
    while (suspected.length > 0) {
      const decision = decide(suspected[0]!);
      if (typeof decision === 'number') {
        judgeTimer = clock.after(Math.max(decision - clock.now(), 1), judge);
        break;
      }
      quarantine(decision);
      suspected = listSuspected();
    }
    suspensions
      .retain([...new Set(suspected.flat())], clock.now())
      .forEach((trait) => logger.info({ trait }, 'requests suspended'));
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
      const since = suspensions.tryGetSince(trait);
      if (since !== undefined) {
        const isOverdue = now >= since + SUSPENSION;
        const until = since + (isOverdue ? MAXIMUM_SUSPENSION : SUSPENSION);
        return { kind: 'suspended', trait, remaining: Math.max(until - now, 0) };
      }
    }
    return undefined;
  }

  return {
    tryGetBlock,
    recordArrival(traits, request) {
      handleFound(suspensions.recordArrival(traits, request));
    },
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
      // Suspended by what the same report says, if at all.
      if (suspensions.merge(report.arrivals ?? {})) {
        judge();
        options.onChange('learnt');
      }
    },
    tryGetReport() {
      const now = clock.now();
      const quarantined = quarantines.list(now);
      const blocked = [...suspensions.list(), ...Object.keys(quarantined)];
      const arrivals = suspensions.listArrivals();
      const { ended, traits } = evidence.getRecent(now, blocked);
      const isEmpty = [ended, Object.keys(traits), Object.keys(quarantined)].every(
        ({ length }) => length === 0,
      );
      return isEmpty ? undefined : { ended, traits, quarantined, arrivals };
    },
    countQuarantined: () => Object.keys(quarantines.list(clock.now())).length,
  };
}
