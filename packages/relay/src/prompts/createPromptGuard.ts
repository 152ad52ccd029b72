import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { PromptPartId } from '../types';
import createPromptEvidence from './createPromptEvidence';
import createQuarantineList from './createQuarantineList';
import findCrashingParts from './findCrashingParts';
import getProcessKey from './getProcessKey';
import type { PromptGuard } from './types';

/**
 * Time for which a part stays suspected before it is quarantined. Answers that clear it, and the
 * ends that tell it from the parts beside it, reach all hosts of a fleet within this time.
 */
const SUSPENSION: Milliseconds = 1_000;

interface PromptGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when other hosts should know of a change: of what this host found, or learnt. */
  readonly onChange: (origin: 'found' | 'learnt') => void;
}

interface Watcher {
  readonly parts: readonly PromptPartId[];
  readonly onQuarantined: () => void;
}

/**
 * Refuses requests with a part of a prompt under which one server after the other ends: first for a
 * moment, then, if nothing clears the part, for the time of its quarantine.
 */
export default function createPromptGuard(options: PromptGuardOptions): PromptGuard {
  const { clock, logger } = options;
  const evidence = createPromptEvidence();
  const quarantines = createQuarantineList();
  const watchers = new Set<Watcher>();
  let suspendedSince = new Map<PromptPartId, Milliseconds>();
  let judgeTimer: Timer | undefined;

  function notifyWatchers(quarantined: readonly PromptPartId[]): void {
    [...watchers]
      .filter(({ parts }) => parts.some((part) => quarantined.includes(part)))
      .forEach(({ onQuarantined }) => onQuarantined());
  }

  /** The ends that led to a quarantine count no more once it is over. */
  function getSuspects(): ReturnType<typeof evidence.getSuspects> {
    const now = clock.now();
    return evidence.getSuspects((part) => quarantines.tryGetLastEnd(part, now) ?? -Infinity);
  }

  function listSuspected(): readonly PromptPartId[] {
    return findCrashingParts({
      suspects: getSuspects(),
      isQuarantined: (part) => quarantines.tryGetRemaining(part, clock.now()) !== undefined,
      isKnown: (part) => quarantines.getStrikes(part) > 0,
      wasAnswered: evidence.wasAnswered,
    });
  }

  function quarantine(part: PromptPartId): void {
    const processes = [...(getSuspects().get(part) ?? [])];
    quarantines.add(part, clock.now());
    logger.warn({ part, processes }, 'prompt part quarantined');
    notifyWatchers([part]);
    options.onChange('found');
  }

  /**
   * Suspends the parts that are suspected and quarantines the first of them once its time is over.
   * The others are judged anew, since the quarantined one may explain their ends.
   */
  function judge(): void {
    judgeTimer?.cancel();
    judgeTimer = undefined;
    const now = clock.now();
    let suspected = listSuspected();
    const getSince = (part: PromptPartId): Milliseconds => suspendedSince.get(part) ?? now;
    while (suspected.length > 0 && now - getSince(suspected[0]!) >= SUSPENSION) {
      quarantine(suspected[0]!);
      suspected = listSuspected();
    }
    const before = suspendedSince;
    suspendedSince = new Map(suspected.map((part) => [part, getSince(part)]));
    suspected
      .filter((part) => !before.has(part))
      .forEach((part) => logger.info({ part }, 'prompt part suspended'));
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

  return {
    tryGetBlock(parts) {
      const now = clock.now();
      for (const part of parts) {
        const remaining = quarantines.tryGetRemaining(part, now);
        if (remaining !== undefined) {
          return { kind: 'quarantined', part, remaining };
        }
        const since = suspendedSince.get(part);
        if (since !== undefined) {
          return { kind: 'suspended', part, remaining: Math.max(since + SUSPENSION - now, 0) };
        }
      }
      return undefined;
    },
    recordAnswered(parts) {
      handleFound(evidence.recordAnswered(parts, clock.now()));
    },
    recordBroken(server, parts) {
      handleFound(evidence.recordSuspects(getProcessKey(server), parts, clock.now()));
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
    watch(parts, onQuarantined) {
      const watcher = { parts, onQuarantined };
      watchers.add(watcher);
      return () => watchers.delete(watcher);
    },
    merge(report) {
      const now = clock.now();
      const quarantined = quarantines.merge(report.quarantined, now);
      const result = evidence.merge(report, now);
      quarantined.forEach((part) => logger.warn({ part, from: 'host' }, 'prompt part quarantined'));
      notifyWatchers(quarantined);
      if (result !== 'nothing' || quarantined.length > 0) {
        judge();
        options.onChange(result === 'cleared' ? 'found' : 'learnt');
      }
    },
    tryGetReport() {
      const now = clock.now();
      const { ended, parts } = evidence.getRecent(now);
      const quarantined = quarantines.list(now);
      const isEmpty = [ended, Object.keys(parts), Object.keys(quarantined)].every(
        ({ length }) => length === 0,
      );
      return isEmpty ? undefined : { ended, parts, quarantined };
    },
    countQuarantined: () => Object.keys(quarantines.list(clock.now())).length,
  };
}
