import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type {
  FailureDetector,
  Heartbeat,
  MemberRow,
  MembershipContext,
  TableExchange,
} from './types';

interface TableExchangeOptions {
  readonly context: MembershipContext;
  readonly detector: FailureDetector;
}

/** Sends and handles heartbeats, and reconciles member tables within this failure domain. */
export default function createTableExchange(options: TableExchangeOptions): TableExchange {
  const { context, detector } = options;
  const { table } = context;
  /** Peers whose last heartbeat carried a digest other than that of this table. */
  const mismatched = new Set<EntryHostId>();

  function requestSync(entryHost: EntryHostId, address?: string): void {
    const row = context.self();
    context.send(entryHost, { kind: 'syncRequested', from: row.entryHost, row }, address);
  }

  function sendRow(entryHost: EntryHostId, row: MemberRow): void {
    const from = context.self().entryHost;
    context.send(entryHost, { kind: 'rowsChanged', from, rows: [row] });
  }

  function sendAccusation(entryHost: EntryHostId): void {
    const row = table.tryGet(entryHost);
    if (row !== undefined && row.accusers.length > 0) {
      sendRow(entryHost, row);
    }
  }

  function compareDigest({ from, digest }: Heartbeat): void {
    if (digest === table.digest()) {
      mismatched.delete(from);
    } else if (mismatched.has(from)) {
      mismatched.delete(from);
      requestSync(from);
    } else {
      // A single mismatch may be due to a change still in transit.
      mismatched.add(from);
    }
  }

  function reportLaterGeneration({ from, generation }: Heartbeat): void {
    const address = table.tryGet(from)?.address;
    if (generation > context.localState.generation && address !== undefined) {
      context.emit({ kind: 'laterGenerationSeen', entryHost: from, address, generation });
    }
  }

  return {
    requestSync,
    sendAccusation,
    sendHeartbeats() {
      const { entryHost: from, incarnation } = context.self();
      const heartbeat: Heartbeat = {
        kind: 'heartbeat',
        from,
        incarnation,
        digest: table.digest(),
        generation: context.localState.generation,
      };
      table.watchersOf(from).forEach((watcher) => context.send(watcher, heartbeat));
    },
    handleHeartbeat(heartbeat, now: Milliseconds) {
      const row = table.tryGet(heartbeat.from);
      if (row === undefined || row.incarnation < heartbeat.incarnation) {
        requestSync(heartbeat.from);
      } else if (row.dead || row.incarnation > heartbeat.incarnation) {
        sendRow(heartbeat.from, row);
      } else {
        detector.recordContact(heartbeat.from, now);
        sendAccusation(heartbeat.from);
        compareDigest(heartbeat);
        reportLaterGeneration(heartbeat);
      }
    },
    answerSync({ from, row }) {
      context.send(
        from,
        { kind: 'synced', from: context.self().entryHost, rows: table.rows() },
        row.address,
      );
    },
    handleSync({ from, rows }, now) {
      const peerRows = new Map(rows.map((row) => [row.entryHost, row]));
      rows.forEach((row) => table.merge(row, now));
      const missing = table
        .rows()
        .filter((row) => isMissingAtPeer(row, peerRows.get(row.entryHost)));
      if (missing.length > 0) {
        context.send(from, { kind: 'rowsChanged', from: context.self().entryHost, rows: missing });
      }
    },
  };
}

/** Returns whether a row is new to the peer, whose own copy is `peerRow`. */
function isMissingAtPeer(row: MemberRow, peerRow: MemberRow | undefined): boolean {
  return (
    peerRow === undefined ||
    row.incarnation !== peerRow.incarnation ||
    row.version !== peerRow.version ||
    row.dead !== peerRow.dead
  );
}
