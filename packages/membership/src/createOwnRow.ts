import type { Random } from '@rattanreel/core';
import createLaterIncarnation from './createLaterIncarnation';
import type { MemberRow, MembershipContext, OwnRow, OwnRowHolder } from './types';

interface OwnRowOptions {
  readonly holder: OwnRowHolder;
  readonly context: Pick<MembershipContext, 'table' | 'emit' | 'broadcast'>;
  readonly random: Random;
  /**
   * Until it has joined, a process is not replaced by another process with its name: that one can
   * only be an earlier run of the same host.
   */
  readonly isJoined: () => boolean;
}

/** Holds this host's own row. Only the host itself raises its version. */
export default function createOwnRow(options: OwnRowOptions): OwnRow {
  const { context, holder, random, isJoined } = options;
  let replaced = false;

  function publish(next: MemberRow, now: number): void {
    holder.row = next;
    context.table.merge(next, now);
    context.broadcast({ kind: 'rowsChanged', from: next.entryHost, rows: [next] });
  }

  function startNewIncarnation(superseded: MemberRow, now: number): void {
    const previous = holder.row.incarnation;
    const incarnation = createLaterIncarnation(superseded.incarnation, random);
    publish({ ...holder.row, incarnation, version: 0, dead: false, accusers: [] }, now);
    context.emit({ kind: 'incarnationChanged', previous, incarnation });
  }

  return {
    isReplaced: () => replaced,
    update(change, now) {
      const { row } = holder;
      publish({ ...row, ...change, version: row.version + 1, accusers: [] }, now);
    },
    reconcile(now) {
      const { row } = holder;
      const tableRow = context.table.tryGet(row.entryHost);
      if (tableRow === undefined || replaced || row.dead) {
        return;
      }
      if (tableRow.incarnation !== row.incarnation) {
        if (tableRow.dead || !isJoined()) {
          startNewIncarnation(tableRow, now);
        } else {
          replaced = true;
          context.emit({ kind: 'replaced', by: tableRow.incarnation });
        }
      } else if (tableRow.dead) {
        startNewIncarnation(tableRow, now);
      } else if (tableRow.accusers.length > 0) {
        publish({ ...row, version: row.version + 1, accusers: [] }, now);
      }
    },
  };
}
