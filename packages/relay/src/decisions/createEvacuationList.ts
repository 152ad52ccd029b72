import type { FailureDomainId, Milliseconds } from '@rattanreel/core';

interface EvacuationList {
  /** Replaces the list; returns false, without effect, if it is not newer than the current one. */
  replace(domains: readonly FailureDomainId[], version: number): boolean;
  /** Records that the store returned from a copy, and until when the operator writes again. */
  markStoreRestored(writtenAgainBy: Milliseconds): void;
  /** Updates the evacuations in force; returns the domains that are no longer evacuated. */
  update(now: Milliseconds): readonly FailureDomainId[];
  /** The evacuations in force. */
  readonly current: ReadonlySet<FailureDomainId>;
  /** Store version of the list; -1 before the first one. */
  readonly version: number;
}

/**
 * Holds the evacuated failure domains. After the store's return from an older copy, an evacuation
 * that is missing stays in force until the operator has had time to write it again.
 */
export default function createEvacuationList(): EvacuationList {
  let listed: readonly FailureDomainId[] = [];
  let current: ReadonlySet<FailureDomainId> = new Set();
  let version = -1;
  let retainUntil = -Infinity;

  return {
    get current() {
      return current;
    },
    get version() {
      return version;
    },
    replace(domains, nextVersion) {
      if (nextVersion <= version) {
        return false;
      }
      version = nextVersion;
      listed = domains;
      return true;
    },
    markStoreRestored(writtenAgainBy) {
      retainUntil = writtenAgainBy;
    },
    update(now) {
      const next = new Set(now < retainUntil ? [...current, ...listed] : listed);
      const returned = [...current].filter((domain) => !next.has(domain));
      current = next;
      return returned;
    },
  };
}
