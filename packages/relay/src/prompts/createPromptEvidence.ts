import type { Milliseconds } from '@rattanreel/core';
import type { PromptPartId } from '../types';
import createRecentMap from './createRecentMap';
import type { PartEvidence, ProcessKey, PromptEvidence } from './types';

/** Bounds of what a host remembers. */
const MAXIMUM_PARTS = 512;
const MAXIMUM_PROCESSES = 512;
const MAXIMUM_PROCESSES_PER_PART = 16;
const MAXIMUM_ANSWERED_PARTS = 4_096;
const MAXIMUM_AGE: Milliseconds = 600_000;
/**
 * An answer clears a part of the ends that become known within this time after it: reports of
 * servers that ended together arrive over the time that a report takes through the fleet.
 */
const ANSWER_REACH: Milliseconds = 1_000;
/** Changes are reported for this long, so that a host cut off for a moment receives them too. */
const REPORT_TIME: Milliseconds = 6_000;
const MAXIMUM_REPORTED_PARTS = 64;

type EndState = 'open' | 'cleared';

interface EndEntry {
  readonly state: EndState;
  readonly changedAt: Milliseconds;
}

type PartEntry = Map<ProcessKey, EndEntry>;

function listProcesses(
  entry: PartEntry,
  state: EndState,
  since: Milliseconds = -Infinity,
): readonly ProcessKey[] {
  return [...entry]
    .filter(([, end]) => end.state === state && end.changedAt >= since)
    .map(([process]) => process);
}

/** Drops the oldest cleared end of a part that has many; returns whether there is room for one. */
function tryMakeRoom(entry: PartEntry): boolean {
  if (entry.size < MAXIMUM_PROCESSES_PER_PART) {
    return true;
  }
  const [oldest] = listProcesses(entry, 'cleared');
  return oldest !== undefined && entry.delete(oldest);
}

/**
 * Holds which parts of prompts were about to be answered by processes of servers that ended. A
 * part that causes such ends is never answered, so a complete answer clears its other parts.
 */
export default function createPromptEvidence(): PromptEvidence {
  const maximumAge = MAXIMUM_AGE;
  const parts = createRecentMap<PromptPartId, PartEntry>({
    maximumSize: MAXIMUM_PARTS,
    maximumAge,
  });
  const ended = createRecentMap<ProcessKey, true>({ maximumSize: MAXIMUM_PROCESSES, maximumAge });
  const answered = createRecentMap<PromptPartId, Milliseconds>({
    maximumSize: MAXIMUM_ANSWERED_PARTS,
    maximumAge,
  });

  function isRecentlyAnswered(part: PromptPartId, now: Milliseconds): boolean {
    return now - (answered.get(part) ?? -Infinity) <= ANSWER_REACH;
  }

  /** Sets the state of one end under a part; returns whether it changes. */
  function setState(
    part: PromptPartId,
    process: ProcessKey,
    state: EndState,
    now: Milliseconds,
  ): boolean {
    const entry: PartEntry = parts.get(part) ?? new Map();
    const known = entry.get(process)?.state;
    const next = isRecentlyAnswered(part, now) ? 'cleared' : state;
    if (known === next || known === 'cleared') {
      return false;
    }
    if (known === undefined && !tryMakeRoom(entry)) {
      return false;
    }
    entry.set(process, { state: next, changedAt: now });
    parts.set(part, entry, now);
    return true;
  }

  return {
    recordSuspects: (process, suspects, now) =>
      suspects.filter((part) => setState(part, process, 'open', now)).length > 0,
    recordEnded(process, now) {
      const isNew = ended.get(process) === undefined;
      if (isNew) {
        ended.set(process, true, now);
      }
      return isNew;
    },
    recordAnswered(answeredParts, now) {
      const changed = answeredParts.filter((part) => {
        answered.set(part, now, now);
        const entry = parts.get(part);
        const open = entry === undefined ? [] : listProcesses(entry, 'open');
        open.forEach((process) => setState(part, process, 'cleared', now));
        return open.length > 0;
      });
      return changed.length > 0;
    },
    wasAnswered: (part) => answered.get(part) !== undefined,
    listUnconfirmed: () => [
      ...new Set(
        parts
          .list()
          .flatMap(([, entry]) => listProcesses(entry, 'open'))
          .filter((process) => ended.get(process) === undefined),
      ),
    ],
    getSuspects: (getSince) =>
      new Map(
        parts.list().flatMap(([part, entry]) => {
          const open = listProcesses(entry, 'open', getSince(part)).filter(
            (process) => ended.get(process) !== undefined,
          );
          return open.length === 0 ? [] : [[part, new Set(open)] as const];
        }),
      ),
    merge(report, now) {
      const newEnds = report.ended.filter((process) => ended.get(process) === undefined);
      newEnds.forEach((process) => ended.set(process, true, now));
      const changedParts = Object.entries(report.parts).filter(([part, { open, cleared }]) => {
        const newCleared = cleared.filter((process) => setState(part, process, 'cleared', now));
        const newOpen = open.filter((process) => setState(part, process, 'open', now));
        return newCleared.length + newOpen.length > 0;
      });
      if (
        changedParts.some(([part, { open }]) => open.length > 0 && isRecentlyAnswered(part, now))
      ) {
        return 'cleared';
      }
      return newEnds.length + changedParts.length > 0 ? 'learnt' : 'nothing';
    },
    getRecent(now) {
      const since = now - REPORT_TIME;
      const recent = parts
        .list(since)
        .map(([part, entry]): readonly [PromptPartId, PartEvidence] => [
          part,
          {
            open: listProcesses(entry, 'open', since),
            cleared: listProcesses(entry, 'cleared', since),
          },
        ])
        .sort(([, left], [, right]) => right.open.length - left.open.length)
        .slice(0, MAXIMUM_REPORTED_PARTS);
      const reported = new Set(recent.flatMap(([, { open }]) => open));
      return {
        ended: [...reported].filter((process) => ended.get(process) !== undefined),
        parts: Object.fromEntries(recent),
      };
    },
  };
}
