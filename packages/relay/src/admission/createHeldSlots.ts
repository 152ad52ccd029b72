import type { Clock, Milliseconds } from '@rattanreel/core';
import type { AgedServerLoad } from '../speed/types';
import type { HeldSlot, SchedulerRequest, SlotGrant, SlotRequest, Ticket } from './types';

interface HeldSlotsOptions {
  readonly clock: Clock;
  /** Sends a message to the scheduler in use, if there is one. */
  readonly sendToScheduler: (message: SchedulerRequest) => void;
}

interface HeldSlots {
  /**
   * Creates the grant of a slot that is returned to the scheduler and, if this host's own pools
   * count it, to them.
   */
  hold(
    ticket: Ticket,
    request: SlotRequest,
    grant: Pick<SlotGrant, 'server' | 'view'>,
    own: SlotGrant | undefined,
  ): SlotGrant;
  isHeld(ticket: Ticket): boolean;
  list(): readonly HeldSlot[];
}

/** Holds the slots in use at this host, whoever granted them. */
export default function createHeldSlots({ clock, sendToScheduler }: HeldSlotsOptions): HeldSlots {
  const held = new Map<Ticket, HeldSlot>();

  return {
    hold(ticket, { pool, priority, customer }, { server, view }, own) {
      let lastLoad: AgedServerLoad | undefined;
      let lastLoadAt: Milliseconds = 0;
      held.set(ticket, { ticket, pool, server: server.id, tier: priority.tier, customer });
      return {
        server,
        view,
        release() {
          held.delete(ticket);
          sendToScheduler({ kind: 'return', ticket });
          own?.release();
        },
        complete(figures) {
          held.delete(ticket);
          const load = lastLoad && { ...lastLoad, age: clock.now() - lastLoadAt };
          sendToScheduler({ kind: 'return', ticket, figures, load });
          own?.complete(figures);
        },
        recordLoad(load) {
          lastLoad = load;
          lastLoadAt = clock.now() - load.age;
          own?.recordLoad(load);
        },
        recordLeaving() {
          sendToScheduler({ kind: 'serverReport', ticket, isLeaving: true });
          own?.recordLeaving();
        },
      };
    },
    isHeld: (ticket) => held.has(ticket),
    list: () => [...held.values()],
  };
}
