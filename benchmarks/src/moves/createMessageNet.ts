import type { Milliseconds, VirtualClock } from '@rattanreel/core';

const ONE_WAY_MILLISECONDS: Milliseconds = 2;

/** Messages between failure domains, with partitions. */
interface MessageNet {
  /** Cuts a failure domain off from the others and from the platform, or ends that. */
  setCutOff(domain: number, isCutOff: boolean): void;
  isCutOff(domain: number): boolean;
  canReach(from: number, to: number): boolean;
  send(from: number, to: number, deliver: () => void): void;
  reachableFrom(domain: number): readonly number[];
}

/** Delivers messages between failure domains by index, unless one end is cut off. */
export default function createMessageNet(clock: VirtualClock, domains: number): MessageNet {
  const cutOff = new Set<number>();

  function canReach(from: number, to: number): boolean {
    return from === to || (!cutOff.has(from) && !cutOff.has(to));
  }

  return {
    setCutOff(domain, isCutOff) {
      if (isCutOff) {
        cutOff.add(domain);
      } else {
        cutOff.delete(domain);
      }
    },
    isCutOff: (domain) => cutOff.has(domain),
    canReach,
    send(from, to, deliver) {
      if (canReach(from, to)) {
        clock.after(ONE_WAY_MILLISECONDS, deliver);
      }
    },
    reachableFrom: (domain) =>
      Array.from({ length: domains }, (_, index) => index).filter((index) =>
        canReach(domain, index),
      ),
  };
}
