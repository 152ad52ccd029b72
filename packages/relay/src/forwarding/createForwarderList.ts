import type { Clock, EntryHostId, Milliseconds, Random } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import type { ForwarderList } from './types';

/** Time for which a peer that failed is not asked, and for which one that worked is preferred. */
const FAILED_TIME: Milliseconds = 1_000;
const WORKING_TIME: Milliseconds = 5_000;
/** Share of choices in which peers that have not been tried come first, so that load is spread. */
const EXPLORING_SHARE = 0.1;

interface ForwarderListOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly listPeers: () => readonly PeerAddress[];
  /** Lists the peers whose event loop is late; the others are asked first. */
  readonly listLatePeers: () => ReadonlySet<EntryHostId>;
}

type Rating = 'working' | 'unknown' | 'failed';

/** Remembers which peers have lately sent attempts for this host. */
export default function createForwarderList(options: ForwarderListOptions): ForwarderList {
  const { clock, random } = options;
  const ratings = new Map<EntryHostId, { readonly rating: Rating; readonly until: Milliseconds }>();

  function getRating({ entryHost }: PeerAddress): Rating {
    const known = ratings.get(entryHost);
    return known !== undefined && known.until > clock.now() ? known.rating : 'unknown';
  }

  return {
    choose() {
      const peers = options.listPeers();
      const known = new Set(peers.map(({ entryHost }) => entryHost));
      [...ratings.keys()]
        .filter((host) => !known.has(host))
        .forEach((host) => ratings.delete(host));
      const order: readonly Rating[] =
        random.next() < EXPLORING_SHARE ? ['unknown', 'working'] : ['working', 'unknown'];
      const shuffled = peers
        .map((peer) => ({ peer, rating: getRating(peer), draw: random.next() }))
        .sort((left, right) => left.draw - right.draw);
      const ordered = order.flatMap((wanted) =>
        shuffled.filter(({ rating }) => rating === wanted).map(({ peer }) => peer),
      );
      const latePeers = options.listLatePeers();
      const isLate = ({ entryHost }: PeerAddress): boolean => latePeers.has(entryHost);
      return [...ordered.filter((peer) => !isLate(peer)), ...ordered.filter(isLate)];
    },
    recordWorking({ entryHost }) {
      ratings.set(entryHost, { rating: 'working', until: clock.now() + WORKING_TIME });
    },
    recordFailed({ entryHost }) {
      ratings.set(entryHost, { rating: 'failed', until: clock.now() + FAILED_TIME });
    },
  };
}
