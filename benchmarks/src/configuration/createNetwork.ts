import { decode, encode } from '@msgpack/msgpack';
import type { Clock, EntryHostId, Random } from '@rattanreel/core';
import type { CarriedMessage, Traffic } from './types';

const SAME_DOMAIN_MILLISECONDS = 1;
const OTHER_DOMAIN_MILLISECONDS = 2;
const LATEST_REPETITION_MILLISECONDS = 6_000;

interface NetworkOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly loss: number;
  /** Share of the messages that arrive a second time, some seconds late. */
  readonly repeated: number;
  readonly domainOf: (entryHost: EntryHostId) => string;
  /** Where a host's traffic is counted; undefined while it does not run. */
  readonly trafficOf: (entryHost: EntryHostId) => Traffic | undefined;
  readonly deliver: (to: EntryHostId, message: CarriedMessage) => void;
}

interface Network {
  send(from: EntryHostId, to: EntryHostId, message: CarriedMessage): void;
  setCut(left: string, right: string, cut: boolean): void;
  isCut(left: string, right: string): boolean;
  mendAll(): void;
}

/** Carries messages between hosts as encoded bytes, with latency, loss and cuts. */
export default function createNetwork(options: NetworkOptions): Network {
  const { clock, random, loss, repeated, domainOf, trafficOf, deliver } = options;
  const cuts = new Set<string>();

  function isCut(left: string, right: string): boolean {
    return cuts.has(`${left} ${right}`) || cuts.has(`${right} ${left}`);
  }

  function isSevered(from: EntryHostId, to: EntryHostId): boolean {
    return isCut(from, to) || isCut(domainOf(from), domainOf(to));
  }

  function count(entryHost: EntryHostId, message: CarriedMessage, bytes: number): void {
    const traffic = trafficOf(entryHost);
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
    isCut,
    send(from, to, message) {
      // The channel is told by the transport's call, not by the message.
      const bytes = encode(message.message, { ignoreUndefined: true });
      count(from, message, bytes.length);
      if (isSevered(from, to) || random.next() < loss) {
        return;
      }
      const latency =
        domainOf(from) === domainOf(to) ? SAME_DOMAIN_MILLISECONDS : OTHER_DOMAIN_MILLISECONDS;
      const arrive = () => {
        count(to, message, bytes.length);
        const received = { kind: message.kind, message: decode(bytes) };
        deliver(to, received as CarriedMessage);
      };
      clock.after(latency, arrive);
      if (repeated > 0 && random.next() < repeated) {
        clock.after(random.integer(0, LATEST_REPETITION_MILLISECONDS), arrive);
      }
    },
    setCut(left, right, cut) {
      if (cut) {
        cuts.add(`${left} ${right}`);
      } else {
        cuts.delete(`${left} ${right}`);
        cuts.delete(`${right} ${left}`);
      }
    },
    mendAll: () => cuts.clear(),
  };
}
