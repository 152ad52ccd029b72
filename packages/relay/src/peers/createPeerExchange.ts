import type { Clock, EntryHostId, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { Beliefs, BeliefVersions, HostChange, HostSummary, PeerAddress } from '../types';
import isLargeFleet from '../decisions/isLargeFleet';
import type { RelayTransport } from './types';

/** Time between two whole summaries. */
const SUMMARY_INTERVAL: Milliseconds = 200;
/** Shortest time between two messages when requests came or went while places are scarce, and otherwise. */
const SCARCE_INTERVAL: Milliseconds = 20;
const CHANGE_INTERVAL: Milliseconds = 100;
/** With more hosts each summary is sent less often, so that sending stays a few hundredths of a core. */
const INTERVAL_PER_PEER: Milliseconds = 4;
/** The same for a host that tells as many as a large fleet has: it has least processor time to spare for them. */
const LARGE_INTERVAL_PER_PEER: Milliseconds = 8;
/** Shortest time between two questions for another host's beliefs. */
const QUESTION_PAUSE: Milliseconds = 200;
/** Time for which a host waits to hear from the store itself what another knows already. */
const BEHIND_PATIENCE: Milliseconds = 250;
const ANSWER_TIMEOUT: Milliseconds = 700;

interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: RelayTransport;
  readonly getSummary: () => HostSummary;
  readonly getVersions: () => BeliefVersions;
  readonly onBeliefs: (beliefs: Beliefs) => void;
}

interface PeerExchange {
  setPeers(peers: readonly PeerAddress[]): void;
  /** Tells the others that requests came or went: soon while places are scarce. */
  noteChange(isScarce: boolean): void;
  /** Notes what another host knows, and asks it when it knows more. */
  hear(summary: HostSummary): void;
  /** Asks hosts, whose addresses may be out of date, for what they know. */
  askAny(addresses: readonly string[]): Promise<void>;
  stop(): void;
}

function knowsMore(summary: BeliefVersions, own: BeliefVersions): boolean {
  return (
    summary.configurationVersion > own.configurationVersion ||
    summary.serversVersion > own.serversVersion ||
    summary.evacuatedVersion > own.evacuatedVersion
  );
}

/** Tells the other hosts what this one does, and fetches from them what it has missed. */
export default function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
  const { clock, logger, transport } = options;
  let peers: readonly PeerAddress[] = [];
  let timer: Timer | undefined;
  const behindSince = new Map<EntryHostId, Milliseconds>();
  let askedAt = -Infinity;
  let told: HostSummary | undefined;
  let toldAt = -Infinity;
  let summarisedAt = -Infinity;
  let dueAt = Infinity;
  let isStopped = false;

  function getInterval(shortest: Milliseconds): Milliseconds {
    const perPeer = isLargeFleet(peers.length) ? LARGE_INTERVAL_PER_PEER : INTERVAL_PER_PEER;
    return Math.max(shortest, peers.length * perPeer);
  }

  function tellIn(interval: Milliseconds): void {
    timer?.cancel();
    dueAt = clock.now() + interval;
    timer = isStopped ? undefined : clock.after(interval, tell);
  }

  /** What changed since the last message; undefined when a whole summary is due. */
  function tryGetChange(summary: HostSummary): HostChange | undefined {
    if (told === undefined || clock.now() - summarisedAt >= getInterval(SUMMARY_INTERVAL)) {
      return undefined;
    }
    const { entryHost, tiers, waiting } = summary;
    const before = told.inFlight;
    const ids = new Set([...Object.keys(before), ...Object.keys(summary.inFlight)]);
    const changed = [...ids].filter((id) => before[id] !== summary.inFlight[id]);
    const inFlight = Object.fromEntries(changed.map((id) => [id, summary.inFlight[id] ?? 0]));
    return { kind: 'change', entryHost, inFlight, tiers, waiting };
  }

  function tell(): void {
    const summary = options.getSummary();
    const change = tryGetChange(summary);
    peers.forEach(({ address }) => transport.send(address, change ?? summary));
    told = summary;
    toldAt = clock.now();
    summarisedAt = change === undefined ? toldAt : summarisedAt;
    tellIn(getInterval(SUMMARY_INTERVAL));
  }

  async function ask(address: string, host: EntryHostId | undefined): Promise<void> {
    const answer = await transport.ask(address, { kind: 'beliefs' }, ANSWER_TIMEOUT);
    if (answer.kind === 'ok') {
      options.onBeliefs(answer.value);
    } else {
      logger.warn({ host, address, error: answer.error }, 'host does not tell what it knows');
    }
  }

  tellIn(SUMMARY_INTERVAL);
  return {
    noteChange(isScarce) {
      const interval = getInterval(isScarce ? SCARCE_INTERVAL : CHANGE_INTERVAL);
      const soon = Math.max(toldAt + interval, clock.now());
      if (soon < dueAt) {
        tellIn(soon - clock.now());
      }
    },
    setPeers(next) {
      peers = next;
    },
    hear(summary) {
      const now = clock.now();
      if (!knowsMore(summary, options.getVersions())) {
        behindSince.delete(summary.entryHost);
        return;
      }
      const since = behindSince.get(summary.entryHost) ?? now;
      behindSince.set(summary.entryHost, since);
      if (now - since >= BEHIND_PATIENCE && now - askedAt > QUESTION_PAUSE) {
        askedAt = now;
        void ask(summary.address, summary.entryHost);
      }
    },
    async askAny(addresses) {
      await Promise.all(addresses.map((address) => ask(address, undefined)));
    },
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
