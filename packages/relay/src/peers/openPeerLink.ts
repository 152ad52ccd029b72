import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createHostSummary from '../createHostSummary';
import isLargeFleet from '../decisions/isLargeFleet';
import choosePartners from '../decisions/choosePartners';
import type { SharedQuota } from '../decisions/types';
import type {
  BeliefKeeper,
  HostMessage,
  HostSummary,
  PeerAddress,
  PeerTable,
  Pools,
} from '../types';
import sumCounts from '../decisions/sumCounts';
import createPeerExchange from './createPeerExchange';
import createSilenceWatch from './createSilenceWatch';
import createDomainExchange from './createDomainExchange';
import openRelayTransport from './openRelayTransport';

/** In a large fleet the pools are told at most this often; hundreds of messages come in a second. */
const TAKE_OVER_INTERVAL: Milliseconds = 10;

interface PeerLinkOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: Pick<HostSummary, 'entryHost' | 'incarnation' | 'failureDomain' | 'address'>;
  readonly keeper: BeliefKeeper;
  readonly peerTable: PeerTable;
  readonly pools: Pools;
  readonly quota: SharedQuota;
}

interface PeerLink {
  setPeers(peers: readonly PeerAddress[]): void;
  /** Tells the others that requests came or went: soon while places are scarce. */
  noteChange(isScarce: boolean): void;
  /** Asks hosts, whose addresses may be out of date, for what they know. */
  askAny(addresses: readonly string[]): Promise<void>;
  /** Ends what is told to others; the other hosts may still ask until `close`. */
  stop(): void;
  close(): Promise<void>;
}

/** Links this host with the others: what they do, what they have spent, what they know. */
export default async function openPeerLink(options: PeerLinkOptions): Promise<PeerLink> {
  const { clock, logger, self, keeper, peerTable, pools, quota } = options;

  let isLarge = false;
  let isTakingOver = false;

  function listNear(): readonly EntryHostId[] {
    return peerTable
      .listHeard(clock.now())
      .filter(({ failureDomain }) => failureDomain === self.failureDomain)
      .map(({ entryHost }) => entryHost);
  }

  /** Tells the pools what the other hosts do. */
  function takeOver(): void {
    const now = clock.now();
    const counts = sumCounts([peerTable.countInFlight(now), domains.countFar()]);
    pools.forEachDesk((desk, pool) =>
      desk.setOthers(counts, peerTable.countByTier(pool, now), peerTable.countWaiting(pool, now)),
    );
  }

  function hear(message: HostMessage): void {
    const now = clock.now();
    if (message.kind === 'domain') {
      domains.hear(message, 'sent');
      return;
    }
    peerTable.hear(message, now);
    if (message.kind === 'summary') {
      keeper.learnPeer(message);
      quota.hear({ ...message, from: message.entryHost, now });
      message.farReports?.forEach((report) => domains.hear(report, 'passedOn'));
      exchange.hear(message);
    }
    if (!isLarge) {
      takeOver();
    } else if (!isTakingOver) {
      isTakingOver = true;
      clock.after(TAKE_OVER_INTERVAL, () => {
        isTakingOver = false;
        takeOver();
      });
    }
  }

  const transport = await openRelayTransport({
    identity: self,
    listenAddress: self.address,
    onMessage: hear,
    getBeliefs: () => keeper.get(),
  });
  const domains = createDomainExchange({
    clock,
    transport,
    quota,
    self,
    countTogether: () => sumCounts([peerTable.countInFlight(clock.now()), pools.countOwn()]),
    listNear,
  });
  const exchange = createPeerExchange({
    clock,
    logger,
    transport,
    getSummary: () =>
      createHostSummary({
        ...self,
        pools,
        spent: quota.spent(),
        farReports: domains.listReports(),
        versions: keeper.getVersions(),
      }),
    getVersions: keeper.getVersions,
    onBeliefs: keeper.merge,
  });

  const silence = createSilenceWatch({
    clock,
    logger,
    listHeard: () => peerTable.listHeard(clock.now()).map(({ entryHost }) => entryHost),
  });

  return {
    setPeers(peers) {
      isLarge = isLargeFleet(peers.length);
      quota.setPeers(peers);
      domains.setPeers(peers);
      exchange.setPeers(choosePartners(peers, self.failureDomain));
    },
    noteChange: exchange.noteChange,
    askAny: exchange.askAny,
    stop() {
      exchange.stop();
      domains.stop();
      silence.stop();
    },
    close: transport.close,
  };
}
