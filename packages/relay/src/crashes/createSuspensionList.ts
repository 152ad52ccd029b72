import { createHash } from 'node:crypto';
import type { Milliseconds, RequestId } from '@rattanreel/core';
import type { TraitId } from '../types';
import type { SuspensionList } from './types';

/** More arrivals of one trait tell no more; bounds what hosts report. */
const MAXIMUM_ARRIVALS = 8;
const ARRIVAL_BYTES = 6;

interface Suspension {
  readonly since: Milliseconds;
  /** Digests of the requests that arrived meanwhile. */
  readonly arrivals: Set<string>;
}

/**
 * Holds the traits whose requests are refused until it is decided whether they are quarantined, and
 * which requests with them arrive meanwhile, at any host. The union of two hosts' arrivals is the
 * same in any order of messages.
 */
export default function createSuspensionList(): SuspensionList {
  let suspensions = new Map<TraitId, Suspension>();

  function addArrivals(trait: TraitId, digests: readonly string[]): boolean {
    const arrivals = suspensions.get(trait)?.arrivals;
    const added = digests.filter(
      (digest) =>
        arrivals !== undefined && arrivals.size < MAXIMUM_ARRIVALS && !arrivals.has(digest),
    );
    added.forEach((digest) => arrivals?.add(digest));
    return added.length > 0;
  }

  return {
    retain(traits, now) {
      const before = suspensions;
      suspensions = new Map(
        traits.map((trait) => [trait, before.get(trait) ?? { since: now, arrivals: new Set() }]),
      );
      return [...suspensions.keys()].filter((trait) => !before.has(trait));
    },
    tryGetSince: (trait) => suspensions.get(trait)?.since,
    countArrivals: (trait) => suspensions.get(trait)?.arrivals.size ?? 0,
    recordArrival(traits: readonly TraitId[], request: RequestId) {
      const suspended = traits.filter((trait) => suspensions.has(trait));
      if (suspended.length === 0) {
        return false;
      }
      const digest = createHash('sha256').update(request).digest();
      const arrival = digest.subarray(0, ARRIVAL_BYTES).toString('base64url');
      return suspended.filter((trait) => addArrivals(trait, [arrival])).length > 0;
    },
    merge: (arrivals) =>
      Object.entries(arrivals).filter(([trait, digests]) => addArrivals(trait, digests)).length > 0,
    list: () => [...suspensions.keys()],
    listArrivals: () =>
      Object.fromEntries(
        [...suspensions].flatMap(([trait, { arrivals }]) =>
          arrivals.size === 0 ? [] : [[trait, [...arrivals]]],
        ),
      ),
  };
}
