import type { Clock } from '@rattanreel/core';
import type { LoopDelay } from '../lateness/types';
import type {
  HeldSlot,
  LocalAdmission,
  Respond,
  Sender,
  ServedHost,
  SlotAsk,
  SlotGrant,
  Ticket,
} from './types';

interface ServedHostOptions extends Sender {
  readonly clock: Clock;
  readonly admission: LocalAdmission;
  readonly respond: Respond;
  readonly loopDelay: Pick<LoopDelay, 'getArrivalTime'>;
}

type LedgerEntry =
  | { readonly kind: 'waiting'; readonly cancel: () => void }
  | { readonly kind: 'granted'; readonly grant: SlotGrant };

/** Holds the tickets of one host whose requests this one schedules. */
export default function createServedHost(options: ServedHostOptions): ServedHost {
  const { clock, admission } = options;
  const entries = new Map<Ticket, LedgerEntry>();

  function releaseEntry(entry: LedgerEntry): void {
    if (entry.kind === 'waiting') {
      entry.cancel();
    } else {
      entry.grant.release();
    }
  }

  function sendGrant(ticket: Ticket, { server, view }: SlotGrant): void {
    host.respond({ kind: 'granted', ticket, server, view });
  }

  function admit(message: SlotAsk): void {
    const { ticket } = message;
    const arrivedAt = options.loopDelay.getArrivalTime();
    let isAnswered = false;
    const cancel = admission.requestSlot({
      requestId: message.requestId,
      pool: message.pool,
      customer: message.customer,
      cost: message.cost,
      priority: {
        ...message.priority,
        serveBy: arrivedAt + message.serveWithin,
        serveLateBy:
          message.serveLateWithin === undefined ? undefined : arrivedAt + message.serveLateWithin,
        deadlineAt: arrivedAt + message.deadlineWithin,
      },
      outputTokens: message.outputTokens,
      isSpeculative: message.isSpeculative,
      excludedServers: new Set(message.excludedServers),
      onGranted(grant) {
        isAnswered = true;
        entries.set(ticket, { kind: 'granted', grant });
        sendGrant(ticket, grant);
      },
      onRefused(refusal) {
        isAnswered = true;
        entries.delete(ticket);
        host.respond({ kind: 'refused', ticket, ...refusal });
      },
    });
    if (!isAnswered) {
      entries.set(ticket, { kind: 'waiting', cancel });
      host.respond({ kind: 'queued', ticket });
    }
  }

  /** Takes over a slot that another scheduler granted. */
  function adopt(held: HeldSlot): void {
    const known = entries.get(held.ticket);
    if (known?.kind === 'granted') {
      return;
    }
    known?.cancel();
    entries.delete(held.ticket);
    const grant = admission.tryAdoptSlot(held);
    if (grant !== undefined) {
      entries.set(held.ticket, { kind: 'granted', grant });
    }
  }

  function confirmWaiting(ticket: Ticket): void {
    const entry = entries.get(ticket);
    if (entry === undefined) {
      host.respond({ kind: 'unknown', ticket });
    } else if (entry.kind === 'granted') {
      sendGrant(ticket, entry.grant);
    }
  }

  const host: ServedHost = {
    entryHost: options.entryHost,
    incarnation: options.incarnation,
    respond: options.respond,
    heardAt: clock.now(),
    countTickets: () => entries.size,
    ask(message) {
      const known = entries.get(message.ticket);
      if (known === undefined) {
        admit(message);
      } else if (known.kind === 'granted') {
        sendGrant(message.ticket, known.grant);
      } else {
        host.respond({ kind: 'queued', ticket: message.ticket });
      }
    },
    returnSlot({ ticket, figures, load }) {
      const entry = entries.get(ticket);
      if (entry === undefined) {
        return;
      }
      entries.delete(ticket);
      if (entry.kind === 'granted' && load !== undefined) {
        entry.grant.recordLoad(load);
      }
      if (entry.kind === 'granted' && figures !== undefined) {
        entry.grant.complete(figures);
      } else {
        releaseEntry(entry);
      }
    },
    recordServerReport({ ticket, load, isLeaving }) {
      const entry = entries.get(ticket);
      if (entry?.kind !== 'granted') {
        return;
      }
      if (load !== undefined) {
        entry.grant.recordLoad({ ...load, age: 0 });
      }
      if (isLeaving === true) {
        entry.grant.recordLeaving();
      }
    },
    reconcile({ held, waiting }) {
      const open = new Set([...held.map(({ ticket }) => ticket), ...waiting]);
      [...entries].forEach(([ticket, entry]) => {
        if (!open.has(ticket)) {
          entries.delete(ticket);
          releaseEntry(entry);
        }
      });
      held.forEach(adopt);
      waiting.forEach(confirmWaiting);
    },
    releaseAll() {
      const open = [...entries.values()];
      entries.clear();
      open.forEach(releaseEntry);
    },
  };
  return host;
}
