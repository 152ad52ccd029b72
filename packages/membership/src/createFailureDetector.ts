import type { EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import type { FailureDetector, MemberRow, MemberTable, MembershipPolicy } from './types';

const MAXIMUM_BACKOFF_FACTOR = 32;
/** A member counts as heard for this many times the silence that accuses it. */
const CONTACT_WINDOW_FACTOR = 2;

interface FailureDetectorOptions {
  readonly self: EntryHostId;
  readonly table: MemberTable;
  readonly policy: MembershipPolicy;
}

interface MemberWatch {
  /** Last sign of life, or the start of the watch. */
  heardAt: Milliseconds;
  /** Multiple of the silence that accuses; grows while only this host accuses. */
  backoffFactor: number;
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
  const watches = new Map<EntryHostId, MemberWatch>();
  const suspicions = new Map<EntryHostId, Suspicion>();
  let listedHosts: ReadonlySet<EntryHostId> | undefined;

  function getOrCreateWatch(entryHost: EntryHostId, now: Milliseconds): MemberWatch {
    let watch = watches.get(entryHost);
    if (watch === undefined) {
      watch = { heardAt: now, backoffFactor: 1, accusation: undefined };
      watches.set(entryHost, watch);
    }
    return watch;
  }

  function clearRefutedAccusation(row: MemberRow, watch: MemberWatch, now: Milliseconds): void {
    const { accusation } = watch;
    if (accusation === undefined || row.accusers.includes(self)) {
      return;
    }
    watch.accusation = undefined;
    watch.heardAt = now;
    const sameIncarnation = row.incarnation === accusation.incarnation;
    watch.backoffFactor = sameIncarnation
      ? Math.min(MAXIMUM_BACKOFF_FACTOR, watch.backoffFactor * 2)
      : 1;
  }

  function tryAccuse(row: MemberRow, now: Milliseconds): MemberRow | undefined {
    if (!table.watchersOf(row.entryHost).includes(self)) {
      watches.delete(row.entryHost);
      return undefined;
    }
    const watch = getOrCreateWatch(row.entryHost, now);
    clearRefutedAccusation(row, watch, now);
    const isTimedOut = now - watch.heardAt >= policy.accuseAfter * watch.backoffFactor;
    if (!isTimedOut || row.accusers.includes(self)) {
      return undefined;
    }
    watch.accusation = { incarnation: row.incarnation, version: row.version };
    const accused = { ...row, accusers: [...row.accusers, self].sort() };
    table.merge(accused, now);
    return accused;
  }

  /** How long a member has been suspected in its present version; undefined when it is not. */
  function trackSuspicionAge(row: MemberRow, now: Milliseconds): Milliseconds | undefined {
    if (!table.isSuspected(row.entryHost)) {
      suspicions.delete(row.entryHost);
      return undefined;
    }
    const suspicion = suspicions.get(row.entryHost);
    if (suspicion?.incarnation === row.incarnation && suspicion.version === row.version) {
      return now - suspicion.since;
    }
    const { incarnation, version } = row;
    suspicions.set(row.entryHost, { incarnation, version, since: now });
    return 0;
  }

  /** Whether this host hears half of its domain, itself included, and so is not the one cut off. */
  function hasContactWithHalfOfDomain(now: Milliseconds): boolean {
    const oldest = now - policy.accuseAfter * CONTACT_WINDOW_FACTOR;
    const liveRows = table.liveRows();
    const reachable = liveRows.filter(
      ({ entryHost }) => entryHost === self || (heardAt.get(entryHost) ?? oldest) > oldest,
    );
    return reachable.length * 2 >= liveRows.length;
  }

  function tryDeclareDead(row: MemberRow, now: Milliseconds): MemberRow | undefined {
    const suspicionAge = trackSuspicionAge(row, now);
    if (
      suspicionAge === undefined ||
      suspicionAge < policy.deadAfter ||
      !row.accusers.includes(self)
    ) {
      return undefined;
    }
    if (now - getOrCreateWatch(row.entryHost, now).heardAt < policy.accuseAfter) {
      return undefined;
    }
    const isUnlisted = listedHosts !== undefined && !listedHosts.has(row.entryHost);
    if (!isUnlisted && !hasContactWithHalfOfDomain(now)) {
      return undefined;
    }
    const dead = { ...row, dead: true };
    table.merge(dead, now);
    watches.delete(row.entryHost);
    suspicions.delete(row.entryHost);
    return dead;
  }

  return {
    recordContact(entryHost, now) {
      heardAt.set(entryHost, now);
      const watch = watches.get(entryHost);
      if (watch !== undefined) {
        watch.heardAt = now;
        watch.backoffFactor = 1;
      }
    },
    restartTimeouts(now) {
      watches.forEach((watch) => {
        watch.heardAt = now;
      });
      suspicions.clear();
    },
    detectFailures(now) {
      const others = table.liveRows().filter(({ entryHost }) => entryHost !== self);
      const accused = others.map((row) => tryAccuse(row, now));
      const dead = table
        .liveRows()
        .filter(({ entryHost }) => entryHost !== self)
        .map((row) => tryDeclareDead(row, now));
      return [...accused, ...dead].filter((row) => row !== undefined);
    },
    shouldProbe: () => table.liveRows().some(({ accusers }) => accusers.includes(self)),
    setListedHosts(entryHosts) {
      listedHosts = entryHosts;
    },
  };
}
