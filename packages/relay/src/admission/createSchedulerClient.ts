import type { Clock, Milliseconds } from '@rattanreel/core';
import type { ServerEmbargo } from '../decisions/types';
import type { PeerAddress } from '../types';
import createHeldSlots from './createHeldSlots';
import createSlotAsk from './createSlotAsk';
import type {
  Admission,
  HeldSlot,
  LocalAdmission,
  SchedulerChoice,
  SchedulerRequest,
  SchedulerResponse,
  SchedulerSelector,
  SlotGranted,
  SlotRequest,
  Ticket,
} from './types';

/**
 * Time for which requests wait for a new scheduler before this host serves them from its own
 * pools. Small against the objectives of requests.
 */
const MAXIMUM_PENDING: Milliseconds = 100;

interface SchedulerClientOptions {
  readonly clock: Clock;
  readonly local: LocalAdmission;
  readonly selector: Pick<SchedulerSelector, 'getChoice' | 'expectResponse'>;
  readonly send: (host: PeerAddress, message: SchedulerRequest) => void;
  /** Servers that this host must not use, whatever the scheduler says. */
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed' | 'list'>;
}

interface WaitingTicket {
  readonly request: SlotRequest;
  /** Cancels the request at this host's own pools; undefined while a scheduler has it. */
  cancelLocal: (() => void) | undefined;
}

interface SchedulerClient extends Admission {
  handle(message: SchedulerResponse): void;
  /** Follows a change of the scheduler: asks it for all requests that wait. */
  handleChoice(choice: SchedulerChoice): void;
  listHeld(): readonly HeldSlot[];
  /** Lists the tickets that wait at the scheduler. */
  listWaiting(): readonly Ticket[];
}

/**
 * Admits this host's requests at the scheduler of its failure domain. Without one that responds,
 * requests are admitted to this host's own pools, after a short wait for the next scheduler. Slots
 * granted by a scheduler are counted in the own pools too, so that the own pools know this host's
 * load when they must serve.
 */
export default function createSchedulerClient(options: SchedulerClientOptions): SchedulerClient {
  const { clock, local, selector, send, embargo } = options;
  const waiting = new Map<Ticket, WaitingTicket>();
  let lastTicket: Ticket = 0;
  /** When the last scheduler was lost; undefined while there is one, or none is sought. */
  let pendingSince: Milliseconds | undefined;

  function sendToScheduler(message: SchedulerRequest): void {
    const choice = selector.getChoice();
    if (choice.kind === 'remote') {
      send(choice.host, message);
    }
  }

  const heldSlots = createHeldSlots({ clock, sendToScheduler });

  function askScheduler(ticket: Ticket, entry: WaitingTicket): void {
    entry.cancelLocal = undefined;
    const now = clock.now();
    sendToScheduler(createSlotAsk(ticket, entry.request, { now, embargoed: embargo.list(now) }));
    selector.expectResponse();
  }

  /** Admits a request to this host's own pools. */
  function admitLocally(ticket: Ticket, entry: WaitingTicket): void {
    const { request } = entry;
    let isAnswered = false;
    const cancel = local.requestSlot({
      ...request,
      onGranted(grant) {
        isAnswered = true;
        waiting.delete(ticket);
        request.onGranted(heldSlots.hold(ticket, request, grant, grant));
      },
      onRefused(refusal) {
        isAnswered = true;
        waiting.delete(ticket);
        request.onRefused(refusal);
      },
    });
    if (!isAnswered) {
      entry.cancelLocal = cancel;
    }
  }

  /** Asks for a ticket at the scheduler in use, or waits a short time for one. */
  function place(ticket: Ticket, entry: WaitingTicket): void {
    const choice = selector.getChoice();
    if (choice.kind === 'remote') {
      askScheduler(ticket, entry);
      return;
    }
    const patience =
      pendingSince === undefined ? 0 : MAXIMUM_PENDING - (clock.now() - pendingSince);
    if (patience <= 0) {
      admitLocally(ticket, entry);
      return;
    }
    clock.after(patience, () => {
      if (waiting.has(ticket) && entry.cancelLocal === undefined && !isRemote()) {
        admitLocally(ticket, entry);
      }
    });
  }

  function isRemote(): boolean {
    return selector.getChoice().kind === 'remote';
  }

  function handleGranted({ ticket, server, view }: SlotGranted): void {
    const entry = waiting.get(ticket);
    if (entry === undefined || entry.cancelLocal !== undefined) {
      if (!heldSlots.isHeld(ticket)) {
        sendToScheduler({ kind: 'return', ticket });
      }
      return;
    }
    if (embargo.isEmbargoed(server, clock.now())) {
      sendToScheduler({ kind: 'return', ticket });
      askScheduler(ticket, entry);
      return;
    }
    waiting.delete(ticket);
    const { request } = entry;
    const { pool, priority, customer } = request;
    const own = local.tryAdoptSlot({ pool, server: server.id, tier: priority.tier, customer });
    request.onGranted(heldSlots.hold(ticket, request, { server, view }, own));
  }

  /** Withdraws a request that waits in this host's own pools, to ask a scheduler for it. */
  function withdrawLocally(entry: WaitingTicket): void {
    entry.cancelLocal?.();
    entry.cancelLocal = undefined;
  }

  return {
    requestSlot(request) {
      lastTicket += 1;
      const ticket = lastTicket;
      const entry: WaitingTicket = { request, cancelLocal: undefined };
      waiting.set(ticket, entry);
      place(ticket, entry);
      return () => {
        if (waiting.delete(ticket)) {
          if (entry.cancelLocal === undefined) {
            sendToScheduler({ kind: 'cancel', ticket });
          } else {
            entry.cancelLocal();
          }
        }
      };
    },
    refund(customer, cost) {
      if (isRemote()) {
        sendToScheduler({ kind: 'refund', customer, cost });
      } else {
        local.refund(customer, cost);
      }
    },
    trySpendRetry: local.trySpendRetry,
    recordRequest: local.recordRequest,
    handle(message) {
      switch (message.kind) {
        case 'granted':
          handleGranted(message);
          return;
        case 'refused': {
          const entry = waiting.get(message.ticket);
          if (entry !== undefined && entry.cancelLocal === undefined) {
            waiting.delete(message.ticket);
            const { reason, retryAfter, pool, quota } = message;
            entry.request.onRefused({ reason, retryAfter, pool, quota });
          }
          return;
        }
        case 'unknown': {
          const entry = waiting.get(message.ticket);
          if (entry !== undefined && entry.cancelLocal === undefined && isRemote()) {
            askScheduler(message.ticket, entry);
          }
          return;
        }
        case 'queued':
        case 'status':
          return;
        default:
          message satisfies never;
      }
    },
    handleChoice(choice) {
      pendingSince = choice.kind === 'pending' ? (pendingSince ?? clock.now()) : undefined;
      if (choice.kind === 'remote') {
        waiting.forEach(withdrawLocally);
      }
      [...waiting]
        .filter(([, entry]) => entry.cancelLocal === undefined)
        .forEach(([ticket, entry]) => place(ticket, entry));
    },
    listHeld: heldSlots.list,
    listWaiting: () =>
      [...waiting].filter(([, entry]) => entry.cancelLocal === undefined).map(([ticket]) => ticket),
  };
}
