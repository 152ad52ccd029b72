import type { Clock, EntryHostId, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { LoopDelay } from '../lateness/types';
import createServedHost from './createServedHost';
import type {
  LocalAdmission,
  Respond,
  SchedulerRequest,
  SchedulerStatus,
  Sender,
  ServedHost,
} from './types';
import type { FindingsReport } from '../findings/types';

/**
 * A host without a message for this long is considered lost and its slots are released. Hosts
 * report every 500 ms.
 */
const HOST_TTL: Milliseconds = 1_600;
const CHECK_INTERVAL: Milliseconds = 400;

interface SlotLedgerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly admission: LocalAdmission;
  readonly loopDelay: Pick<LoopDelay, 'getArrivalTime'>;
  readonly getStatus: () => SchedulerStatus;
  /** Called when the number of hosts changes. */
  readonly onHostsChange: () => void;
}

interface SlotLedger {
  handle(sender: Sender, message: SchedulerRequest, respond: Respond): void;
  /** Sends the current status to all hosts. */
  announceStatus(): void;
  /** Sends what was found to all hosts; returns their number. */
  sendFindings(report: FindingsReport): number;
  /** Returns the number of other hosts that use this one as their scheduler. */
  countHosts(): number;
  stop(): void;
}

/**
 * Schedules the requests of other hosts of this host's failure domain: each of their tickets is
 * admitted as a request of this host. A host's report is authoritative for its open tickets, so
 * lost messages and a change of the scheduler correct themselves with the next report.
 */
export default function createSlotLedger(options: SlotLedgerOptions): SlotLedger {
  const { clock, logger, admission, loopDelay } = options;
  const hosts = new Map<EntryHostId, ServedHost>();
  let timer: Timer | undefined;

  function removeHost(host: ServedHost, reason: string): void {
    hosts.delete(host.entryHost);
    logger.info({ peer: host.entryHost, reason, slots: host.countTickets() }, 'host not scheduled');
    host.releaseAll();
    options.onHostsChange();
  }

  function tryGetHost({ entryHost, incarnation }: Sender): ServedHost | undefined {
    const host = hosts.get(entryHost);
    return host?.incarnation === incarnation ? host : undefined;
  }

  function getHost(sender: Sender, respond: Respond): ServedHost {
    const previous = hosts.get(sender.entryHost);
    let host = tryGetHost(sender);
    if (host === undefined) {
      if (previous !== undefined) {
        removeHost(previous, 'restarted');
      }
      host = createServedHost({ ...sender, clock, admission, respond, loopDelay });
      hosts.set(sender.entryHost, host);
      logger.info({ peer: sender.entryHost, hosts: hosts.size }, 'host scheduled');
      options.onHostsChange();
    }
    host.respond = respond;
    host.heardAt = clock.now();
    return host;
  }

  function checkHosts(): void {
    const now = clock.now();
    [...hosts.values()]
      .filter(({ heardAt }) => now - heardAt > HOST_TTL)
      .forEach((host) => removeHost(host, 'silent'));
    timer = clock.after(CHECK_INTERVAL, checkHosts);
  }

  checkHosts();
  return {
    handle(sender, message, respond) {
      switch (message.kind) {
        case 'probe':
          respond(options.getStatus());
          return;
        case 'leave': {
          const host = tryGetHost(sender);
          if (host !== undefined) {
            removeHost(host, 'left');
          }
          return;
        }
        case 'report':
          getHost(sender, respond).reconcile(message);
          respond(options.getStatus());
          return;
        case 'ask':
          getHost(sender, respond).ask(message);
          return;
        case 'cancel':
          tryGetHost(sender)?.returnSlot({ ticket: message.ticket });
          return;
        case 'return':
          tryGetHost(sender)?.returnSlot(message);
          return;
        case 'serverReport':
          tryGetHost(sender)?.recordServerReport(message);
          return;
        case 'refund':
          admission.refund(message.customer, message.cost);
          return;
        default:
          message satisfies never;
      }
    },
    announceStatus() {
      const status = options.getStatus();
      hosts.forEach(({ respond }) => respond(status));
    },
    sendFindings(report) {
      hosts.forEach(({ respond }) => respond(report));
      return hosts.size;
    },
    countHosts: () => hosts.size,
    stop() {
      timer?.cancel();
    },
  };
}
