import type { EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import type { FailureDetector, MemberRow, MemberTable, MembershipPolicy } from './types';

const MAXIMUM_BACKOFF_FACTOR = 32;
/**
 * A member counts as reachable for this multiple of the accusation timeout after its last contact.
 */
const CONTACT_WINDOW_FACTOR = 2;

interface FailureDetectorOptions {
  readonly self: EntryHostId;
  readonly table: MemberTable;
  readonly policy: MembershipPolicy;
}

interface MemberWatch {
  /** Last contact, or the start of the watch. */
  heardAt: Milliseconds;
  /**
   * Multiplies the accusation timeout. Doubles with each refuted accusation until this host has
   * contact with the member again.
   */
  backoffFactor: number;
  accusation: { readonly incarnation: Incarnation; readonly version: number } | undefined;
}

interface Suspicion {
  readonly incarnation: Incarnation;
  readonly version: number;
  readonly since: Milliseconds;
}

/**
 * Monitors the members that send heartbeats to this entry host. A member that times out is accused.
 * It is suspected once enough of its watchers accuse it, and declared dead when nobody refutes the
 * suspicion.
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

  /**
   * Returns how long a member has been suspected in its present version, or undefined when it is
   * not.
   */
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

  /**
   * Returns whether this host has contact with at least half of its domain, itself included, and so
   * is not the partitioned one.
   */
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
