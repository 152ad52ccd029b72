import type { ExecutionCount, ServiceAudit } from './types';

interface Booking {
  readonly booking: string;
}

/** Books orders and counts executions. */
interface BookingService {
  /** Counts an executed call by its request id. */
  recordRequest(request: string): void;
  bookOrder(reference: string): Booking;
  getAudit(): ServiceAudit;
}

function toCounts(counts: ReadonlyMap<string, number>): ExecutionCount[] {
  return [...counts].map(([name, executions]) => ({ name, executions }));
}

/** Creates a booking service without bookings. */
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
