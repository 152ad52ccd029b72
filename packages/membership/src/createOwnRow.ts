import type { Random } from '@rattanreel/core';
import createLaterIncarnation from './createLaterIncarnation';
import type { MemberRow, MembershipContext, OwnRow, OwnRowHolder } from './types';

interface OwnRowOptions {
  readonly holder: OwnRowHolder;
  readonly context: Pick<MembershipContext, 'table' | 'emit' | 'broadcast'>;
  readonly random: Random;
  /** Before it has joined, a process gives way to no namesake: that is its own earlier run. */
  readonly isJoined: () => boolean;
}

/** Keeps this host's own row; nobody else raises its version. */
export default function createOwnRow(options: OwnRowOptions): OwnRow {
  const { context, holder, random, isJoined } = options;
  let replaced = false;

  function publish(next: MemberRow, now: number): void {
    holder.row = next;
    context.table.put(next, now);
    context.broadcast({ kind: 'rowsChanged', from: next.entryHost, rows: [next] });
  }

  function renew(behind: MemberRow, now: number): void {
    const previous = holder.row.incarnation;
    const incarnation = createLaterIncarnation(behind.incarnation, random);
    publish({ ...holder.row, incarnation, version: 0, dead: false, accusers: [] }, now);
    context.emit({ kind: 'incarnationChanged', previous, incarnation });
  }

  return {
    isReplaced: () => replaced,
    change(change, now) {
      const { row } = holder;
      publish({ ...row, ...change, version: row.version + 1, accusers: [] }, now);
    },
    review(now) {
      const { row } = holder;
      const told = context.table.tryGet(row.entryHost);
      if (told === undefined || replaced || row.dead) {
        return;
      }
      if (told.incarnation !== row.incarnation) {
        if (told.dead || !isJoined()) {
          renew(told, now);
        } else {
          replaced = true;
          context.emit({ kind: 'replaced', by: told.incarnation });
        }
      } else if (told.dead) {
        renew(told, now);
      } else if (told.accusers.length > 0) {
        publish({ ...row, version: row.version + 1, accusers: [] }, now);
      }
    },
  };
}
