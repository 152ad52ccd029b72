import type { EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import hashText from './hashText';
import mergeRows from './mergeRows';
import type { DomainMember, MemberRow, MemberTable } from './types';

const DIGEST_RANGE = 2 ** 32;
/** Accusers that make a suspicion, unless fewer members watch the accused. */
const ACCUSERS_NEEDED = 2;

interface MemberTableOptions {
  /** Entry hosts that watch each entry host. */
  readonly watchers: number;
}

interface Derived {
  readonly live: readonly MemberRow[];
  readonly members: readonly DomainMember[];
  readonly suspected: ReadonlySet<EntryHostId>;
  readonly watchers: ReadonlyMap<EntryHostId, readonly EntryHostId[]>;
  readonly digest: number;
}

/** The rows of one failure domain and what follows from them. */
export default function createMemberTable(options: MemberTableOptions): MemberTable {
  const rows = new Map<EntryHostId, MemberRow>();
  const ringPositions = new Map<EntryHostId, number>();
  const changedAt = new Map<EntryHostId, Milliseconds>();
  let died: { entryHost: EntryHostId; incarnation: Incarnation }[] = [];
  let derived: Derived | undefined;

  function ringPosition(entryHost: EntryHostId): number {
    let position = ringPositions.get(entryHost);
    if (position === undefined) {
      position = hashText(entryHost);
      ringPositions.set(entryHost, position);
    }
    return position;
  }

  function derive(): Derived {
    derived ??= deriveFrom([...rows.values()], ringPosition, options.watchers);
    return derived;
  }

  function put(next: MemberRow, now: Milliseconds): boolean {
    const previous = rows.get(next.entryHost);
    const merged = previous === undefined ? next : mergeRows(previous, next);
    if (merged === previous) {
      return false;
    }
    const ended = previous !== undefined && !previous.dead;
    if (ended && (merged.dead || merged.incarnation !== previous.incarnation)) {
      died.push({ entryHost: previous.entryHost, incarnation: previous.incarnation });
    }
    rows.set(next.entryHost, merged);
    changedAt.set(next.entryHost, now);
    derived = undefined;
    return true;
  }

  return {
    put,
    tryGet: (entryHost) => rows.get(entryHost),
    rows: () => [...rows.values()],
    live: () => derive().live,
    members: () => derive().members,
    digest: () => derive().digest,
    isSuspected: (entryHost) => derive().suspected.has(entryHost),
    watchersOf: (entryHost) => derive().watchers.get(entryHost) ?? [],
    takeDied() {
      const taken = died;
      died = [];
      return taken;
    },
    forget(entryHosts, before) {
      for (const row of rows.values()) {
        const settled = (changedAt.get(row.entryHost) ?? before) < before;
        if (row.dead && settled && !entryHosts.has(row.entryHost)) {
          rows.delete(row.entryHost);
          changedAt.delete(row.entryHost);
          ringPositions.delete(row.entryHost);
        }
      }
    },
  };
}

function deriveFrom(
  rows: readonly MemberRow[],
  ringPosition: (entryHost: EntryHostId) => number,
  watcherCount: number,
): Derived {
  const live = rows
    .filter(({ dead }) => !dead)
    .sort((left, right) => ringPosition(left.entryHost) - ringPosition(right.entryHost));
  const suspected = findSuspected(live, watcherCount);
  const watchers = new Map(
    live.map((row, index) => {
      const trusted = successorsOf(live, index, watcherCount, (host) => !suspected.has(host));
      // Where too few are left, suspected ones are told too: they may be alive.
      const rest = successorsOf(live, index, watcherCount, (host) => suspected.has(host));
      return [row.entryHost, [...trusted, ...rest].slice(0, watcherCount)];
    }),
  );
  const members = live
    .filter(({ entryHost }) => !suspected.has(entryHost))
    .map(({ entryHost, incarnation, address, leaving }) => ({
      entryHost,
      incarnation,
      address,
      leaving,
    }));
  return { live, members, suspected, watchers, digest: digestOf(live) };
}

/** Members accused by enough of their watchers that are not accused themselves. */
function findSuspected(live: readonly MemberRow[], watcherCount: number): ReadonlySet<EntryHostId> {
  const accused = new Set(
    live.filter(({ accusers }) => accusers.length > 0).map(({ entryHost }) => entryHost),
  );
  const suspected = live.filter((row, index) => {
    if (row.accusers.length === 0) {
      return false;
    }
    const watchers = successorsOf(live, index, watcherCount, (host) => !accused.has(host));
    return row.accusers.length >= Math.min(ACCUSERS_NEEDED, Math.max(1, watchers.length));
  });
  return new Set(suspected.map(({ entryHost }) => entryHost));
}

/** The next members of the ring behind `index` that `qualifies` admits. */
function successorsOf(
  live: readonly MemberRow[],
  index: number,
  count: number,
  qualifies: (entryHost: EntryHostId) => boolean,
): readonly EntryHostId[] {
  const successors: EntryHostId[] = [];
  for (let step = 1; step < live.length && successors.length < count; step += 1) {
    const { entryHost } = live[(index + step) % live.length]!;
    if (qualifies(entryHost)) {
      successors.push(entryHost);
    }
  }
  return successors;
}

/** Covers live rows without their accusers, which pass too quickly to reconcile. */
function digestOf(live: readonly MemberRow[]): number {
  const text = live
    .map(({ entryHost, incarnation, version }) => `${entryHost} ${incarnation} ${version}`)
    .sort()
    .join('\n');
  return hashText(text) % DIGEST_RANGE;
}
