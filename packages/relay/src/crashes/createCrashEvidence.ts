import type { Milliseconds } from '@rattanreel/core';
import type { TraitId } from '../types';
import createRecentMap from './createRecentMap';
import type { TraitEvidence, ProcessKey, CrashEvidence } from './types';

/** Bounds of what a host remembers. */
const MAXIMUM_TRAITS = 512;
const MAXIMUM_PROCESSES = 512;
const MAXIMUM_PROCESSES_PER_TRAIT = 16;
const MAXIMUM_ANSWERED_TRAITS = 4_096;
const MAXIMUM_AGE: Milliseconds = 600_000;
/**
 * An answer clears a trait of the ends that become known within this time after it: reports of
 * servers that ended together arrive over the time that a report takes through the fleet.
 */
const ANSWER_REACH: Milliseconds = 1_000;
/** Changes are reported for this long, so that a host cut off for a moment receives them too. */
const REPORT_TIME: Milliseconds = 6_000;
const MAXIMUM_REPORTED_TRAITS = 64;

type EndState = 'open' | 'cleared';

interface EndEntry {
  readonly state: EndState;
  readonly changedAt: Milliseconds;
}

type TraitEntry = Map<ProcessKey, EndEntry>;

function listProcesses(
  entry: TraitEntry,
  state: EndState,
  since: Milliseconds = -Infinity,
): readonly ProcessKey[] {
  return [...entry]
    .filter(([, end]) => end.state === state && end.changedAt >= since)
    .map(([process]) => process);
}

/** Drops the oldest cleared end of a trait that has many; returns whether there is room for one. */
function tryMakeRoom(entry: TraitEntry): boolean {
  if (entry.size < MAXIMUM_PROCESSES_PER_TRAIT) {
    return true;
  }
  const [oldest] = listProcesses(entry, 'cleared');
  return oldest !== undefined && entry.delete(oldest);
}

/**
 * Holds which traits the requests had that processes of servers were to begin when they ended. A
 * trait that causes such ends is never answered, so a complete answer clears those of its request.
 */
export default function createCrashEvidence(): CrashEvidence {
  const maximumAge = MAXIMUM_AGE;
  const traits = createRecentMap<TraitId, TraitEntry>({
    maximumSize: MAXIMUM_TRAITS,
    maximumAge,
  });
  const ended = createRecentMap<ProcessKey, true>({ maximumSize: MAXIMUM_PROCESSES, maximumAge });
  const answered = createRecentMap<TraitId, Milliseconds>({
    maximumSize: MAXIMUM_ANSWERED_TRAITS,
    maximumAge,
  });

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
    const entry: TraitEntry = traits.get(trait) ?? new Map();
    const known = entry.get(process)?.state;
    const next = isRecentlyAnswered(trait, now) ? 'cleared' : state;
    if (known === next || known === 'cleared') {
      return false;
    }
    if (known === undefined && !tryMakeRoom(entry)) {
      return false;
    }
    entry.set(process, { state: next, changedAt: now });
    traits.set(trait, entry, now);
    return true;
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
    wasAnswered: (trait) => answered.get(trait) !== undefined,
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
      const changedTraits = Object.entries(report.traits).filter(([trait, { open, cleared }]) => {
        const newCleared = cleared.filter((process) => setState(trait, process, 'cleared', now));
        const newOpen = open.filter((process) => setState(trait, process, 'open', now));
        return newCleared.length + newOpen.length > 0;
      });
      if (
        changedTraits.some(([trait, { open }]) => open.length > 0 && isRecentlyAnswered(trait, now))
      ) {
        return 'cleared';
      }
      return newEnds.length + changedTraits.length > 0 ? 'learnt' : 'nothing';
    },
    getRecent(now) {
      const since = now - REPORT_TIME;
      const recent = traits
        .list(since)
        .map(([trait, entry]): readonly [TraitId, TraitEvidence] => [
          trait,
          {
            open: listProcesses(entry, 'open', since),
            cleared: listProcesses(entry, 'cleared', since),
          },
        ])
        .sort(([, left], [, right]) => right.open.length - left.open.length)
        .slice(0, MAXIMUM_REPORTED_TRAITS);
      const reported = new Set(recent.flatMap(([, { open }]) => open));
      return {
        ended: [...reported].filter((process) => ended.get(process) !== undefined),
        traits: Object.fromEntries(recent),
      };
    },
  };
}
