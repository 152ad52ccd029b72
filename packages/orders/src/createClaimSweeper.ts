import type { Clock, Milliseconds, Random, Timer } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import type { ObjectStore, StoredObject } from '@rattanreel/platform';
import claimKind from './claimKind';
import isClaimRemovable from './isClaimRemovable';
import type { ClaimRecord } from './types';

const DEFAULT_REMOVALS_PER_SECOND = 20;
const DEFAULT_LIST_INTERVAL: Milliseconds = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const HEXADECIMAL = 16;
const DEFAULT_PREFIX_LENGTH = 2;

interface ClaimSweeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether this host is the one that sweeps now; two at once are safe and only cost store calls. */
  readonly isActive: () => boolean;
  readonly removalsPerSecond?: number;
  /** Time between the listings of two shards. */
  readonly listInterval?: Milliseconds;
  /** Number of leading hexadecimal digits of a claim's name that select its shard. */
  readonly prefixLength?: number;
}

interface ClaimSweeper {
  stop(): void;
}

/** Removes expired claims, one shard after another, at a bounded rate. */
export default function createClaimSweeper(options: ClaimSweeperOptions): ClaimSweeper {
  const { store, clock, random } = options;
  const prefixLength = options.prefixLength ?? DEFAULT_PREFIX_LENGTH;
  const listInterval = options.listInterval ?? DEFAULT_LIST_INTERVAL;
  const removalInterval =
    MILLISECONDS_PER_SECOND / (options.removalsPerSecond ?? DEFAULT_REMOVALS_PER_SECOND);
  const shardCount = HEXADECIMAL ** prefixLength;
  let shard = random.integer(0, shardCount - 1);
  let timer: Timer | undefined;
  let isStopped = false;

  function getPrefix(): string {
    return shard.toString(HEXADECIMAL).padStart(prefixLength, '0');
  }

  async function removeExpired(claims: readonly StoredObject<ClaimRecord>[]): Promise<void> {
    for (const claim of claims) {
      if (isStopped || !options.isActive()) {
        return;
      }
      // A claim that has changed stays; one whose removal failed is listed again in the next round.
      await store.remove(claimKind, claim.name, claim.version);
      await sleep(clock, removalInterval);
    }
  }

  async function sweepShard(): Promise<void> {
    if (options.isActive()) {
      const listed = await store.list<ClaimRecord>(claimKind, { prefix: getPrefix() });
      if (listed.kind === 'ok') {
        const now = clock.wallTime();
        await removeExpired(
          listed.value.items.filter((claim) => isClaimRemovable(claim.value, now)),
        );
        shard = (shard + 1) % shardCount;
      }
    }
  }

  function schedule(): void {
    if (!isStopped) {
      timer = clock.after(listInterval, () => {
        sweepShard().then(schedule, schedule);
      });
    }
  }

  schedule();
  return {
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
