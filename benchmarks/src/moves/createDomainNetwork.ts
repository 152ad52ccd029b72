import type { Milliseconds, VirtualClock } from '@rattanreel/core';

const ONE_WAY_MILLISECONDS: Milliseconds = 2;

/** Carries messages between failure domains and models partitions. */
interface DomainNetwork {
  /** Starts or ends a partition of a failure domain from the others and from the platform. */
  setPartitioned(domain: number, isPartitioned: boolean): void;
  isPartitioned(domain: number): boolean;
  canReach(from: number, to: number): boolean;
  send(from: number, to: number, deliver: () => void): void;
  listReachableFrom(domain: number): readonly number[];
}

/**
 * Creates a network that delivers messages between failure domains, by index, unless one end is
 * partitioned.
 */
export default function createDomainNetwork(clock: VirtualClock, domains: number): DomainNetwork {
  const partitioned = new Set<number>();

  function canReach(from: number, to: number): boolean {
    return from === to || (!partitioned.has(from) && !partitioned.has(to));
  }

  return {
    setPartitioned(domain, isPartitioned) {
      if (isPartitioned) {
        partitioned.add(domain);
      } else {
        partitioned.delete(domain);
      }
    },
    isPartitioned: (domain) => partitioned.has(domain),
    canReach,
    send(from, to, deliver) {
      if (canReach(from, to)) {
        clock.after(ONE_WAY_MILLISECONDS, deliver);
      }
    },
    listReachableFrom: (domain) =>
      Array.from({ length: domains }, (_, index) => index).filter((index) =>
        canReach(domain, index),
      ),
  };
}
