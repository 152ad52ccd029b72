import type { Milliseconds } from '@rattanreel/core';
import type { TraitId } from '../types';
import createRecentMap from './createRecentMap';
import getTraitKind from './getTraitKind';
import type { CrashEvidence, ProcessKey, RecentMap, TraitEvidence, TraitKind } from './types';

/** Bounds of what a host remembers, for each kind of trait. */
const MAXIMUM_TRAITS = 512;
const MAXIMUM_PROCESSES = 512;
const MAXIMUM_PROCESSES_PER_TRAIT = 64;
const MAXIMUM_ANSWERED_TRAITS = 4_096;
const MAXIMUM_AGE: Milliseconds = 600_000;
/**
 * An answer clears a trait of the ends that become known within this time after it: reports of
 * servers that ended together arrive over the time that a report takes through the fleet.
 */
const ANSWER_REACH: Milliseconds = 1_000;
/** Changes are reported for this long, so that a host cut off for a moment receives them too. */
const REPORT_TIME: Milliseconds = 6_000;
/** The newest ends of a trait that are reported. */
const MAXIMUM_REPORTED_ENDS = 16;
/** Each request has a content of its own, so that there are more of them than of prompt parts. */
const MAXIMUM_REPORTED: Readonly<Record<TraitKind, number>> = { promptPart: 64, content: 24 };

type EndState = 'open' | 'cleared';

interface EndEntry {
  readonly state: EndState;
  readonly changedAt: Milliseconds;
}

interface TraitEntry {
  readonly ends: Map<ProcessKey, EndEntry>;
  /** Whether another host has seen an answer to a request with the trait. */
  isAnsweredElsewhere: boolean;
}

/** Holds entries by trait, those of each kind within bounds of their own. */
interface TraitMap<Value> {
  get(trait: TraitId): Value | undefined;
  set(trait: TraitId, value: Value, now: Milliseconds): void;
  list(since?: Milliseconds): readonly (readonly [TraitId, Value])[];
}

function listProcesses(
  { ends }: TraitEntry,
  state: EndState,
  since: Milliseconds = -Infinity,
): readonly ProcessKey[] {
  return [...ends]
    .filter(([, end]) => end.state === state && end.changedAt >= since)
    .map(([process]) => process);
}

/** Drops the oldest cleared end of a trait that has many; returns whether there is room for one. */
function tryMakeRoom(entry: TraitEntry): boolean {
  if (entry.ends.size < MAXIMUM_PROCESSES_PER_TRAIT) {
    return true;
  }
  const [oldest] = listProcesses(entry, 'cleared');
  return oldest !== undefined && entry.ends.delete(oldest);
}

function createTraitMap<Value>(maximumSize: number): TraitMap<Value> {
  const options = { maximumSize, maximumAge: MAXIMUM_AGE };
  const maps: Readonly<Record<TraitKind, RecentMap<TraitId, Value>>> = {
    promptPart: createRecentMap(options),
    content: createRecentMap(options),
  };
  return {
    get: (trait) => maps[getTraitKind(trait)].get(trait),
    set: (trait, value, now) => maps[getTraitKind(trait)].set(trait, value, now),
    list: (since) => Object.values(maps).flatMap((map) => map.list(since)),
  };
}

/**
 * Returns whether others may need to know of a trait: not of a request that was answered when it was
 * sent again, which nobody else suspects.
 */
function isReported({ open, cleared }: TraitEvidence): boolean {
  return open.length > 0 || cleared.length > 1;
}

/** Returns the most suspected traits of one kind, or the newest of equal ones, in their order. */
function chooseReported(
  recent: readonly (readonly [TraitId, TraitEvidence])[],
  kind: TraitKind,
): readonly (readonly [TraitId, TraitEvidence])[] {
  const candidates = recent.filter(
    ([trait, evidence]) => getTraitKind(trait) === kind && isReported(evidence),
  );
  const chosen = new Set(
    candidates
      .toReversed()
      .sort(([, left], [, right]) => right.open.length - left.open.length)
      .slice(0, MAXIMUM_REPORTED[kind]),
  );
  return candidates.filter((candidate) => chosen.has(candidate));
}

/**
 * Holds which traits the requests had that processes of servers were to begin when they ended. A
 * trait that causes such ends is never answered, so a complete answer clears those of its request.
 */
export default function createCrashEvidence(): CrashEvidence {
  const traits = createTraitMap<TraitEntry>(MAXIMUM_TRAITS);
  const ended = createRecentMap<ProcessKey, true>({
    maximumSize: MAXIMUM_PROCESSES,
    maximumAge: MAXIMUM_AGE,
  });
  const answered = createTraitMap<Milliseconds>(MAXIMUM_ANSWERED_TRAITS);

  function isRecentlyAnswered(trait: TraitId, now: Milliseconds): boolean {
    return now - (answered.get(trait) ?? -Infinity) <= ANSWER_REACH;
  }

  /** Sets the state of one end under a trait; returns whether it changes. */
  function setState(
    trait: TraitId,
    process: ProcessKey,
    state: EndState,
    now: Milliseconds,
  ): boolean {
    const entry = traits.get(trait) ?? { ends: new Map(), isAnsweredElsewhere: false };
    const known = entry.ends.get(process)?.state;
    const next = isRecentlyAnswered(trait, now) ? 'cleared' : state;
    if (known === next || known === 'cleared') {
      return false;
    }
    if (known === undefined && !tryMakeRoom(entry)) {
      return false;
    }
    entry.ends.set(process, { state: next, changedAt: now });
    traits.set(trait, entry, now);
    return true;
  }

  function wasAnswered(trait: TraitId): boolean {
    return answered.get(trait) !== undefined || traits.get(trait)?.isAnsweredElsewhere === true;
  }

  /** Merges what another host knows of a trait; returns whether that changes what this one knows. */
  function mergeTrait(trait: TraitId, evidence: TraitEvidence, now: Milliseconds): boolean {
    const { open, cleared, isAnswered } = evidence;
    const newCleared = cleared.filter((process) => setState(trait, process, 'cleared', now));
    const newOpen = open.filter((process) => setState(trait, process, 'open', now));
    const entry = traits.get(trait);
    const isNewlyAnswered = isAnswered && entry !== undefined && !wasAnswered(trait);
    if (isNewlyAnswered) {
      entry.isAnsweredElsewhere = true;
    }
    return isNewlyAnswered || newCleared.length + newOpen.length > 0;
  }

  /** Lists the ends that these traits explain. */
  function listExplained(explaining: readonly TraitId[]): ReadonlySet<ProcessKey> {
    return new Set(
      explaining.flatMap((trait) => {
        const entry = traits.get(trait);
        return entry === undefined ? [] : listProcesses(entry, 'open');
      }),
    );
  }

  return {
    recordSuspects: (process, suspects, now) =>
      suspects.filter((trait) => setState(trait, process, 'open', now)).length > 0,
    recordEnded(process, now) {
      const isNew = ended.get(process) === undefined;
      if (isNew) {
        ended.set(process, true, now);
      }
      return isNew;
    },
    recordAnswered(answeredTraits, now) {
      const changed = answeredTraits.filter((trait) => {
        answered.set(trait, now, now);
        const entry = traits.get(trait);
        const open = entry === undefined ? [] : listProcesses(entry, 'open');
        open.forEach((process) => setState(trait, process, 'cleared', now));
        return open.length > 0;
      });
      return changed.length > 0;
    },
    wasAnswered,
    listUnconfirmed: () => [
      ...new Set(
        traits
          .list()
          .flatMap(([, entry]) => listProcesses(entry, 'open'))
          .filter((process) => ended.get(process) === undefined),
      ),
    ],
    getSuspects: (getSince) =>
      new Map(
        traits.list().flatMap(([trait, entry]) => {
          const open = listProcesses(entry, 'open', getSince(trait)).filter(
            (process) => ended.get(process) !== undefined,
          );
          return open.length === 0 ? [] : [[trait, new Set(open)] as const];
        }),
      ),
    merge(report, now) {
      const newEnds = report.ended.filter((process) => ended.get(process) === undefined);
      newEnds.forEach((process) => ended.set(process, true, now));
      const changedTraits = Object.entries(report.traits).filter(([trait, traitEvidence]) =>
        mergeTrait(trait, traitEvidence, now),
      );
      const mustTell = changedTraits.some(
        ([trait, { open, isAnswered }]) =>
          open.length > 0 &&
          (isRecentlyAnswered(trait, now) || (!isAnswered && wasAnswered(trait))),
      );
      if (mustTell) {
        return 'cleared';
      }
      return newEnds.length + changedTraits.length > 0 ? 'learnt' : 'nothing';
    },
    getRecent(now, blocked) {
      const since = now - REPORT_TIME;
      const explained = listExplained(blocked);
      const explainedByParts = listExplained(
        blocked.filter((trait) => getTraitKind(trait) === 'promptPart'),
      );
      const all = traits.list(since).map(([trait, entry]): readonly [TraitId, TraitEvidence] => {
        const hidden = getTraitKind(trait) === 'content' ? explained : explainedByParts;
        const open = listProcesses(entry, 'open', since).filter(
          (process) => blocked.includes(trait) || !hidden.has(process),
        );
        const cleared = listProcesses(entry, 'cleared', since);
        return [
          trait,
          {
            open: open.slice(-MAXIMUM_REPORTED_ENDS),
            cleared: cleared.slice(-MAXIMUM_REPORTED_ENDS),
            isAnswered: wasAnswered(trait),
          },
        ];
      });
      const recent = [...chooseReported(all, 'promptPart'), ...chooseReported(all, 'content')];
      const reported = new Set(recent.flatMap(([, { open }]) => open));
      return {
        ended: [...reported].filter((process) => ended.get(process) !== undefined),
        traits: Object.fromEntries(recent),
      };
    },
  };
}
