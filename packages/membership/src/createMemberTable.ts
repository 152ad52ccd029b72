import type { EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import hashText from './hashText';
import mergeRows from './mergeRows';
import type { DomainMember, MemberRow, MemberTable } from './types';

const DIGEST_RANGE = 2 ** 32;
/** Number of accusers that makes a member suspected, unless fewer members watch it. */
const REQUIRED_ACCUSERS = 2;

interface MemberTableOptions {
  /** Number of entry hosts that watch each entry host. */
  readonly watchers: number;
}

interface DerivedState {
  readonly liveRows: readonly MemberRow[];
  readonly members: readonly DomainMember[];
  readonly suspected: ReadonlySet<EntryHostId>;
  readonly watchers: ReadonlyMap<EntryHostId, readonly EntryHostId[]>;
  readonly digest: number;
}

/** Stores the rows of one failure domain and derives the members, watchers and digest from them. */
export default function createMemberTable(options: MemberTableOptions): MemberTable {
  const rows = new Map<EntryHostId, MemberRow>();
  const ringPositions = new Map<EntryHostId, number>();
  const changedAt = new Map<EntryHostId, Milliseconds>();
  let newlyDead: { entryHost: EntryHostId; incarnation: Incarnation }[] = [];
  let derivedState: DerivedState | undefined;

  function getRingPosition(entryHost: EntryHostId): number {
    let position = ringPositions.get(entryHost);
    if (position === undefined) {
      position = hashText(entryHost);
      ringPositions.set(entryHost, position);
    }
    return position;
  }

  function getDerivedState(): DerivedState {
    derivedState ??= computeDerivedState([...rows.values()], getRingPosition, options.watchers);
    return derivedState;
  }

  function merge(next: MemberRow, now: Milliseconds): boolean {
    const previous = rows.get(next.entryHost);
    const merged = previous === undefined ? next : mergeRows(previous, next);
    if (merged === previous) {
      return false;
    }
    const wasAlive = previous !== undefined && !previous.dead;
    if (wasAlive && (merged.dead || merged.incarnation !== previous.incarnation)) {
      newlyDead.push({ entryHost: previous.entryHost, incarnation: previous.incarnation });
    }
    rows.set(next.entryHost, merged);
    changedAt.set(next.entryHost, now);
    derivedState = undefined;
    return true;
  }

  return {
    merge,
    tryGet: (entryHost) => rows.get(entryHost),
    rows: () => [...rows.values()],
    liveRows: () => getDerivedState().liveRows,
    members: () => getDerivedState().members,
    digest: () => getDerivedState().digest,
    isSuspected: (entryHost) => getDerivedState().suspected.has(entryHost),
    watchersOf: (entryHost) => getDerivedState().watchers.get(entryHost) ?? [],
    collectNewlyDead() {
      const collected = newlyDead;
      newlyDead = [];
      return collected;
    },
    removeExpired(entryHosts, before) {
      for (const row of rows.values()) {
        const isExpired = (changedAt.get(row.entryHost) ?? before) < before;
        if (row.dead && isExpired && !entryHosts.has(row.entryHost)) {
          rows.delete(row.entryHost);
          changedAt.delete(row.entryHost);
          ringPositions.delete(row.entryHost);
        }
      }
    },
  };
}

function computeDerivedState(
  rows: readonly MemberRow[],
  getRingPosition: (entryHost: EntryHostId) => number,
  watcherCount: number,
): DerivedState {
  const liveRows = rows
    .filter(({ dead }) => !dead)
    .sort((left, right) => getRingPosition(left.entryHost) - getRingPosition(right.entryHost));
  const suspected = findSuspected(liveRows, watcherCount);
  const watchers = new Map(
    liveRows.map((row, index) => {
      const unsuspected = successorsOf(
        liveRows,
        index,
        watcherCount,
        (host) => !suspected.has(host),
      );
      // When too few remain, suspected members receive heartbeats too: they may be alive.
      const suspectedSuccessors = successorsOf(liveRows, index, watcherCount, (host) =>
        suspected.has(host),
      );
      return [row.entryHost, [...unsuspected, ...suspectedSuccessors].slice(0, watcherCount)];
    }),
  );
  const members = liveRows
    .filter(({ entryHost }) => !suspected.has(entryHost))
    .map(({ entryHost, incarnation, address, leaving }) => ({
      entryHost,
      incarnation,
      address,
      leaving,
    }));
  return { liveRows, members, suspected, watchers, digest: computeTableDigest(liveRows) };
}

/** Returns the members accused by enough of those watchers that are not accused themselves. */
function findSuspected(
  liveRows: readonly MemberRow[],
  watcherCount: number,
): ReadonlySet<EntryHostId> {
  const accused = new Set(
    liveRows.filter(({ accusers }) => accusers.length > 0).map(({ entryHost }) => entryHost),
  );
  const suspected = liveRows.filter((row, index) => {
    if (row.accusers.length === 0) {
      return false;
    }
    const watchers = successorsOf(liveRows, index, watcherCount, (host) => !accused.has(host));
    return row.accusers.length >= Math.min(REQUIRED_ACCUSERS, Math.max(1, watchers.length));
  });
  return new Set(suspected.map(({ entryHost }) => entryHost));
}

/** Returns the next `count` members on the ring after `index` that `qualifies` accepts. */
function successorsOf(
  liveRows: readonly MemberRow[],
  index: number,
  count: number,
  qualifies: (entryHost: EntryHostId) => boolean,
): readonly EntryHostId[] {
  const successors: EntryHostId[] = [];
  for (let step = 1; step < liveRows.length && successors.length < count; step += 1) {
    const { entryHost } = liveRows[(index + step) % liveRows.length]!;
    if (qualifies(entryHost)) {
      successors.push(entryHost);
    }
  }
  return successors;
}

/**
 * Computes a digest of the live rows without their accusers, which change too quickly to reconcile.
 */
function computeTableDigest(liveRows: readonly MemberRow[]): number {
  const text = liveRows
    .map(({ entryHost, incarnation, version }) => `${entryHost} ${incarnation} ${version}`)
    .sort()
    .join('\n');
  return hashText(text) % DIGEST_RANGE;
}
