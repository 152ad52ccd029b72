import type { ExecutionCount, ServiceAudit } from './types';

interface Booking {
  readonly booking: string;
}

/** Books orders and counts what was executed. */
interface BookingService {
  /** Counts a call that takes effect. */
  recordRequest(request: string): void;
  bookOrder(reference: string): Booking;
  getAudit(): ServiceAudit;
}

function toCounts(counts: ReadonlyMap<string, number>): ExecutionCount[] {
  return [...counts].map(([name, executions]) => ({ name, executions }));
}

/** An order book with nothing booked. */
export default function createBookingService(): BookingService {
  const bookings = new Map<string, number>();
  const requests = new Map<string, number>();

  function increment(counts: Map<string, number>, name: string): number {
    const next = (counts.get(name) ?? 0) + 1;
    counts.set(name, next);
    return next;
  }

  return {
    recordRequest(request) {
      increment(requests, request);
    },
    bookOrder: (reference) => ({ booking: `${reference}/${increment(bookings, reference)}` }),
    getAudit: () => ({ bookings: toCounts(bookings), requests: toCounts(requests) }),
  };
}
