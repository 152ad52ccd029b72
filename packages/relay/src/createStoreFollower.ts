import type { EntryHostId, FailureDomainId, Milliseconds, Timer } from '@rattanreel/core';
import isStoreFollower from './decisions/isStoreFollower';
import type { BeliefKeeper, BeliefSource, PeerTable, RelayContext } from './types';

/** Time between two decisions whether to follow the store. */
const LOOK_INTERVAL: Milliseconds = 500;
/** Times after the start at which the hosts are listed: hosts that start together register within seconds. */
const FIRST_LISTS: readonly Milliseconds[] = [0, 1_500, 4_000, 8_000];
/** Time between lists later on; hosts that come are heard before. */
const LIST_INTERVAL: Milliseconds = 20_000;

interface StoreFollowerOptions {
  readonly context: RelayContext;
  readonly source: BeliefSource;
  readonly keeper: BeliefKeeper;
  readonly peerTable: PeerTable;
  readonly ownName: EntryHostId;
  readonly ownDomain: FailureDomainId;
}

interface StoreFollower {
  stop(): void;
}

/** Follows the platform's store while that falls to this host, and lists the hosts now and then. */
export default function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
  const { context, source, keeper, peerTable } = options;
  const { clock, random, logger } = context;
  const startedAt = clock.now();
  let unfollow: (() => void) | undefined;
  let lookTimer: Timer | undefined;
  let listTimer: Timer | undefined;
  let lists = 0;
  let isStopped = false;

  function look(): void {
    const beliefs = keeper.get();
    const now = clock.now();
    const shouldFollow = isStoreFollower({
      ownName: options.ownName,
      ownDomain: options.ownDomain,
      peers: beliefs.peers,
      heard: peerTable.listHeard(now),
      isInformed: beliefs.configuration !== undefined && beliefs.serversVersion >= 0,
      age: now - startedAt,
    });
    if (shouldFollow !== (unfollow !== undefined)) {
      logger.info({ shouldFollow, peers: beliefs.peers?.length }, 'store followed');
    }
    if (shouldFollow) {
      unfollow ??= source.follow(keeper.apply);
    } else if (unfollow !== undefined) {
      unfollow();
      unfollow = undefined;
      keeper.stopFollowing();
    }
  }

  function lookOn(): void {
    if (!isStopped) {
      look();
      lookTimer = clock.after(LOOK_INTERVAL, lookOn);
    }
  }

  async function list(): Promise<void> {
    const peers = await source.listPeers();
    if (peers !== undefined && !isStopped) {
      const listed = new Set(peers.map(({ entryHost }) => entryHost));
      const heard = peerTable.listHeard(clock.now()).filter((peer) => !listed.has(peer.entryHost));
      const learnt = heard.map(({ entryHost, address, failureDomain }) => ({
        entryHost,
        address,
        failureDomain,
      }));
      keeper.apply({ kind: 'peers', peers: [...peers, ...learnt] });
      look();
    }
  }

  function listOn(): void {
    if (isStopped) {
      return;
    }
    list().catch((error: unknown) => logger.error({ error: String(error) }, 'hosts not listed'));
    lists += 1;
    const due = FIRST_LISTS[lists];
    const pause =
      due === undefined ? LIST_INTERVAL * (1 + random.next()) : due - (FIRST_LISTS[lists - 1] ?? 0);
    listTimer = clock.after(pause, listOn);
  }

  listOn();
  lookOn();
  return {
    stop() {
      isStopped = true;
      lookTimer?.cancel();
      listTimer?.cancel();
      unfollow?.();
    },
  };
}
