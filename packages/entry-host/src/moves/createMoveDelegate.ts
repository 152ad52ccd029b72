import type { PoolId } from '@rattanreel/core';
import type { MoveRecord, StoredMove } from '@rattanreel/moves';
import { createLease } from '@rattanreel/platform';
import type { Lease, Watch, WatchEvent } from '@rattanreel/platform';
import type { MoveDelegate, MoveDelegateOptions } from './types';
import moveObjectKind from './moveObjectKind';

const MOVES_LEASE_NAME = 'moves';

/** While started, watches the move records in the store and tries to acquire the moves lease. */
export default function createMoveDelegate(options: MoveDelegateOptions): MoveDelegate {
  const { store, clock, random, onRecord } = options;
  let watch: Watch | undefined;
  let lease: Lease | undefined;

  function handleRecord(pool: PoolId, stored: StoredMove): void {
    onRecord(pool, stored);
  }

  function onStoreEvent(event: WatchEvent<MoveRecord>): void {
    if (event.kind === 'listed') {
      event.list.items.forEach(({ name, value, version }) =>
        handleRecord(name, { record: value, version }),
      );
    } else if (event.kind === 'changed') {
      const { name, value, version } = event.object;
      handleRecord(name, { record: value, version });
    }
  }

  return {
    isActive: () => watch !== undefined,
    start(holder) {
      watch = store.watch<MoveRecord>(moveObjectKind, onStoreEvent);
      lease = createLease({
        store,
        name: MOVES_LEASE_NAME,
        holder,
        clock,
        random,
        onChange: options.onLease,
      });
    },
    async stop() {
      watch?.close();
      watch = undefined;
      const held = lease;
      lease = undefined;
      options.onLease({ kind: 'notHeld' });
      await held?.stop();
    },
  };
}
