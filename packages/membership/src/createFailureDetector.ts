import type { EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import type { FailureDetector, MemberRow, MemberTable, MembershipPolicy } from './types';

const LONGEST_BACKOFF = 32;
/** A member counts as heard for this many times the silence that accuses it. */
const HEARD_WINDOW_FACTOR = 2;

interface FailureDetectorOptions {
  readonly self: EntryHostId;
  readonly table: MemberTable;
  readonly policy: MembershipPolicy;
}

interface Watch {
  /** Last sign of life, or the start of the watch. */
  heardAt: Milliseconds;
  /** Multiple of the silence that accuses; grows while only this host accuses. */
  backoff: number;
  accusation: { readonly incarnation: Incarnation; readonly version: number } | undefined;
}

interface Suspicion {
  readonly incarnation: Incarnation;
  readonly version: number;
  readonly since: Milliseconds;
}

/**
 * Watches the members whose heartbeats this entry host gets. A silent one is accused; once enough
 * watchers accuse it is suspected; a suspicion that nobody refutes ends in a declaration of death.
 */
export default function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
  const { self, table, policy } = options;
  const heardAt = new Map<EntryHostId, Milliseconds>();
  const watches = new Map<EntryHostId, Watch>();
  const suspicions = new Map<EntryHostId, Suspicion>();
  let listed: ReadonlySet<EntryHostId> | undefined;

  function watchOf(entryHost: EntryHostId, now: Milliseconds): Watch {
    let watch = watches.get(entryHost);
    if (watch === undefined) {
      watch = { heardAt: now, backoff: 1, accusation: undefined };
      watches.set(entryHost, watch);
    }
    return watch;
  }

  function noteRefutation(row: MemberRow, watch: Watch, now: Milliseconds): void {
    const { accusation } = watch;
    if (accusation === undefined || row.accusers.includes(self)) {
      return;
    }
    watch.accusation = undefined;
    watch.heardAt = now;
    const sameIncarnation = row.incarnation === accusation.incarnation;
    watch.backoff = sameIncarnation ? Math.min(LONGEST_BACKOFF, watch.backoff * 2) : 1;
  }

  function accuse(row: MemberRow, now: Milliseconds): MemberRow | undefined {
    if (!table.watchersOf(row.entryHost).includes(self)) {
      watches.delete(row.entryHost);
      return undefined;
    }
    const watch = watchOf(row.entryHost, now);
    noteRefutation(row, watch, now);
    const silent = now - watch.heardAt >= policy.accuseAfter * watch.backoff;
    if (!silent || row.accusers.includes(self)) {
      return undefined;
    }
    watch.accusation = { incarnation: row.incarnation, version: row.version };
    const accused = { ...row, accusers: [...row.accusers, self].sort() };
    table.put(accused, now);
    return accused;
  }

  /** How long a member has been suspected in its present version; undefined when it is not. */
  function suspectedFor(row: MemberRow, now: Milliseconds): Milliseconds | undefined {
    if (!table.isSuspected(row.entryHost)) {
      suspicions.delete(row.entryHost);
      return undefined;
    }
    const known = suspicions.get(row.entryHost);
    if (known?.incarnation === row.incarnation && known.version === row.version) {
      return now - known.since;
    }
    const { incarnation, version } = row;
    suspicions.set(row.entryHost, { incarnation, version, since: now });
    return 0;
  }

  /** Whether this host hears half of its domain, itself included, and so is not the one cut off. */
  function hearsEnough(now: Milliseconds): boolean {
    const oldest = now - policy.accuseAfter * HEARD_WINDOW_FACTOR;
    const live = table.live();
    const heard = live.filter(
      ({ entryHost }) => entryHost === self || (heardAt.get(entryHost) ?? oldest) > oldest,
    );
    return heard.length * 2 >= live.length;
  }

  function declareDead(row: MemberRow, now: Milliseconds): MemberRow | undefined {
    const span = suspectedFor(row, now);
    if (span === undefined || span < policy.deadAfter || !row.accusers.includes(self)) {
      return undefined;
    }
    if (now - watchOf(row.entryHost, now).heardAt < policy.accuseAfter) {
      return undefined;
    }
    const gone = listed !== undefined && !listed.has(row.entryHost);
    if (!gone && !hearsEnough(now)) {
      return undefined;
    }
    const dead = { ...row, dead: true };
    table.put(dead, now);
    watches.delete(row.entryHost);
    suspicions.delete(row.entryHost);
    return dead;
  }

  return {
    heard(entryHost, now) {
      heardAt.set(entryHost, now);
      const watch = watches.get(entryHost);
      if (watch !== undefined) {
        watch.heardAt = now;
        watch.backoff = 1;
      }
    },
    forgive(now) {
      watches.forEach((watch) => {
        watch.heardAt = now;
      });
      suspicions.clear();
    },
    step(now) {
      const others = table.live().filter(({ entryHost }) => entryHost !== self);
      const accused = others.map((row) => accuse(row, now));
      const dead = table
        .live()
        .filter(({ entryHost }) => entryHost !== self)
        .map((row) => declareDead(row, now));
      return [...accused, ...dead].filter((row) => row !== undefined);
    },
    wantsProbes: () => table.live().some(({ accusers }) => accusers.includes(self)),
    setListed(entryHosts) {
      listed = entryHosts;
    },
  };
}
