import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { SlotAsk, SlotRequest, Ticket } from './types';

interface SlotAskOptions {
  readonly now: Milliseconds;
  /** Servers that this host must not use. */
  readonly embargoed: readonly BackendServerId[];
}

/** Creates the message that asks the scheduler for a slot. */
export default function createSlotAsk(
  ticket: Ticket,
  request: SlotRequest,
  { now, embargoed }: SlotAskOptions,
): SlotAsk {
  const { serveBy, serveLateBy, deadlineAt, ...priority } = request.priority;
  return {
    kind: 'ask',
    ticket,
    requestId: request.requestId,
    pool: request.pool,
    customer: request.customer,
    cost: request.cost,
    outputTokens: request.outputTokens,
    ...(request.isSpeculative === true && { isSpeculative: true }),
    priority,
    serveWithin: serveBy - now,
    ...(serveLateBy !== undefined && { serveLateWithin: serveLateBy - now }),
    deadlineWithin: deadlineAt - now,
    excludedServers: [...request.excludedServers, ...embargoed],
  };
}
