import type { Clock, CustomerId, Milliseconds } from '@rattanreel/core';
import type {
  LocalAdmission,
  SlotOutcome,
  SlotPreview,
  SlotQuery,
  SlotRefusal,
  SlotRequest,
} from './types';

const MILLISECONDS_PER_SECOND = 1_000;
/** Time between two attempts to charge the first of the requests that wait. */
const CHECK_INTERVAL: Milliseconds = 20;
/** Part of the time until a request is late that it may wait for quota; the rest is for a slot. */
const WAIT_FRACTION = 0.5;
/** Bounds the memory of one customer that asks for far more than its quota. */
const MAXIMUM_WAITING = 64;

interface QuotaWaitOptions {
  readonly clock: Clock;
  readonly admission: LocalAdmission;
}

interface WaitingRequest {
  readonly request: SlotRequest;
  readonly giveUpAt: Milliseconds;
  /** Cancels the request at the admission once it has been charged there. */
  cancelAdmitted: (() => void) | undefined;
}

interface CustomerLine {
  waiting: WaitingRequest[];
  /** The last refusal of the first request that waits. */
  refusal: SlotRefusal;
}

/** Returns when a new request can be charged, after the requests ahead of it. */
function getExpectedWait(
  { waiting, refusal }: CustomerLine,
  { priority }: Pick<SlotRequest, 'priority'>,
): number {
  const ahead = waiting
    .filter(({ request }) => request.priority.rank <= priority.rank)
    .reduce((sum, { request }) => sum + request.cost, 0);
  const rate = Math.max(refusal.quota?.rate ?? 1, 1);
  return refusal.retryAfter + (ahead / rate) * MILLISECONDS_PER_SECOND;
}

interface WaitDecision {
  readonly expectedWait: Milliseconds;
  readonly isRefused: boolean;
}

function getGiveUpTime({ priority }: SlotQuery, now: Milliseconds): Milliseconds {
  return now + (Math.min(priority.serveBy, priority.deadlineAt) - now) * WAIT_FRACTION;
}

/**
 * Lets requests wait whose customer's quota has run short for a moment, instead of refusing them, as
 * long as they can still meet their objective. Handles bursts that are within a quota on average.
 * Requests of a customer are charged in the order of their ranks, those of one rank by arrival.
 */
export default function createQuotaWait({ clock, admission }: QuotaWaitOptions): LocalAdmission {
  const lines = new Map<CustomerId, CustomerLine>();

  /** Asks for a slot; returns the refusal if the quota is short, and otherwise passes it on. */
  function tryAdmit(entry: WaitingRequest): SlotRefusal | undefined {
    const { request } = entry;
    let refusal: SlotRefusal | undefined;
    let isAsking = true;
    const cancel = admission.requestSlot({
      ...request,
      onRefused(next) {
        if (isAsking && next.reason === 'overQuota') {
          refusal = next;
        } else {
          request.onRefused(next);
        }
      },
    });
    isAsking = false;
    if (refusal === undefined) {
      entry.cancelAdmitted = cancel;
    }
    return refusal;
  }

  function remove(customer: CustomerId, entry: WaitingRequest): void {
    const line = lines.get(customer);
    if (line !== undefined) {
      line.waiting = line.waiting.filter((each) => each !== entry);
      if (line.waiting.length === 0) {
        lines.delete(customer);
      }
    }
  }

  function refuse(customer: CustomerId, entry: WaitingRequest, refusal: SlotRefusal): void {
    remove(customer, entry);
    entry.request.onRefused(refusal);
  }

  function check(customer: CustomerId): void {
    for (let line = lines.get(customer); line !== undefined; line = lines.get(customer)) {
      const first = line.waiting[0]!;
      const refusal = tryAdmit(first);
      if (refusal !== undefined) {
        line.refusal = refusal;
        const { waiting } = line;
        waiting
          .filter(({ giveUpAt }) => giveUpAt <= clock.now())
          .forEach((entry) => refuse(customer, entry, refusal));
        scheduleCheck(customer);
        return;
      }
      remove(customer, first);
    }
  }

  function scheduleCheck(customer: CustomerId): void {
    const line = lines.get(customer);
    if (line !== undefined) {
      clock.after(CHECK_INTERVAL, () => {
        if (lines.get(customer) === line) {
          check(customer);
        }
      });
    }
  }

  /** Returns for how long a request would wait, and whether it is refused instead. */
  function decideWait(line: CustomerLine, request: SlotQuery): WaitDecision {
    const expectedWait = getExpectedWait(line, request);
    const isTooLong = clock.now() + expectedWait > getGiveUpTime(request, clock.now());
    return { expectedWait, isRefused: isTooLong || line.waiting.length >= MAXIMUM_WAITING };
  }

  /** Queues a request, or refuses it if it would wait for too long. */
  function wait(customer: CustomerId, entry: WaitingRequest, refusal: SlotRefusal): void {
    const { request } = entry;
    const known = lines.get(customer);
    const line = known ?? { waiting: [], refusal };
    const { expectedWait, isRefused } = decideWait(line, request);
    if (isRefused) {
      request.onRefused({ ...refusal, retryAfter: expectedWait });
      return;
    }
    lines.set(customer, line);
    // Sorting is stable, so that requests of one rank stay in their order.
    line.waiting = [...line.waiting, entry].sort(
      (left, right) => left.request.priority.rank - right.request.priority.rank,
    );
    if (known === undefined) {
      scheduleCheck(customer);
    }
  }

  function previewWait(line: CustomerLine, query: SlotQuery, preview: SlotPreview): SlotPreview {
    const { expectedWait, isRefused } = decideWait(line, query);
    const outcome: SlotOutcome = isRefused
      ? { kind: 'refused', ...line.refusal, retryAfter: expectedWait }
      : { kind: 'waiting', cause: 'quotaShort', expectedWait };
    return { ...preview, pool: undefined, outcome };
  }

  /** Returns whether requests that wait for the customer's quota go before this one. */
  function mustWaitInLine(line: CustomerLine | undefined, { priority }: SlotQuery): boolean {
    return line?.waiting.some((each) => each.request.priority.rank <= priority.rank) === true;
  }

  return {
    ...admission,
    preview(query, random) {
      const preview = admission.preview(query, random);
      const { outcome } = preview;
      const line = query.customer === undefined ? undefined : lines.get(query.customer);
      if (line !== undefined && query.cost > 0 && mustWaitInLine(line, query)) {
        return previewWait(line, query, preview);
      }
      return outcome.kind === 'refused' && outcome.reason === 'overQuota'
        ? previewWait(line ?? { waiting: [], refusal: outcome }, query, preview)
        : preview;
    },
    requestSlot(request) {
      const { customer, cost } = request;
      if (customer === undefined || cost === 0) {
        return admission.requestSlot(request);
      }
      const giveUpAt = getGiveUpTime(request, clock.now());
      const entry: WaitingRequest = { request, giveUpAt, cancelAdmitted: undefined };
      const line = lines.get(customer);
      const refusal = mustWaitInLine(line, request) ? line!.refusal : tryAdmit(entry);
      if (refusal !== undefined) {
        wait(customer, entry, refusal);
      }
      return () => {
        remove(customer, entry);
        entry.cancelAdmitted?.();
      };
    },
  };
}
