import { decode, encode } from '@msgpack/msgpack';
import type { Clock, EntryHostId, Random } from '@rattanreel/core';
import type { NetworkMessage, Traffic } from './types';

const SAME_DOMAIN_MILLISECONDS = 1;
const REMOTE_DOMAIN_MILLISECONDS = 2;
const MAXIMUM_DUPLICATE_DELAY_MILLISECONDS = 6_000;

interface NetworkOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly loss: number;
  /** Share of the messages that arrive a second time, up to some seconds late. */
  readonly repeated: number;
  readonly getDomain: (entryHost: EntryHostId) => string;
  /** Returns the counters of a host's traffic; undefined while it does not run. */
  readonly tryGetTraffic: (entryHost: EntryHostId) => Traffic | undefined;
  readonly deliver: (to: EntryHostId, message: NetworkMessage) => void;
}

interface Network {
  send(from: EntryHostId, to: EntryHostId, message: NetworkMessage): void;
  setLinkFailed(left: string, right: string, failed: boolean): void;
  isLinkFailed(left: string, right: string): boolean;
  restoreAllLinks(): void;
}

/**
 * Creates a network that carries messages between hosts as encoded bytes, with latency, loss,
 * duplicates and failed links.
 */
export default function createNetwork(options: NetworkOptions): Network {
  const { clock, random, loss, repeated, getDomain, tryGetTraffic, deliver } = options;
  const failedLinks = new Set<string>();

  function isLinkFailed(left: string, right: string): boolean {
    return failedLinks.has(`${left} ${right}`) || failedLinks.has(`${right} ${left}`);
  }

  function isPartitioned(from: EntryHostId, to: EntryHostId): boolean {
    return isLinkFailed(from, to) || isLinkFailed(getDomain(from), getDomain(to));
  }

  function countTraffic(entryHost: EntryHostId, message: NetworkMessage, bytes: number): void {
    const traffic = tryGetTraffic(entryHost);
    if (traffic === undefined) {
      return;
    }
    traffic.messages += 1;
    if (message.kind === 'membership') {
      traffic.membershipBytes += bytes;
    } else {
      traffic.configurationBytes += bytes;
    }
  }

  return {
    isLinkFailed,
    send(from, to, message) {
      // The channel is identified by the transport's call, not by the message.
      const bytes = encode(message.message, { ignoreUndefined: true });
      countTraffic(from, message, bytes.length);
      if (isPartitioned(from, to) || random.next() < loss) {
        return;
      }
      const latency =
        getDomain(from) === getDomain(to) ? SAME_DOMAIN_MILLISECONDS : REMOTE_DOMAIN_MILLISECONDS;
      const arrive = () => {
        countTraffic(to, message, bytes.length);
        const received = { kind: message.kind, message: decode(bytes) };
        deliver(to, received as NetworkMessage);
      };
      clock.after(latency, arrive);
      if (repeated > 0 && random.next() < repeated) {
        clock.after(random.integer(0, MAXIMUM_DUPLICATE_DELAY_MILLISECONDS), arrive);
      }
    },
    setLinkFailed(left, right, failed) {
      if (failed) {
        failedLinks.add(`${left} ${right}`);
      } else {
        failedLinks.delete(`${left} ${right}`);
        failedLinks.delete(`${right} ${left}`);
      }
    },
    restoreAllLinks: () => failedLinks.clear(),
  };
}
