import type { Clock, Random } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import type { OrderOutcome, OrderRequest } from '../types';
import type { FleetFaults, FleetTimes, ProcessClock } from './types';

const HTTP_OK = 200;

interface BookingServerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly faults: FleetFaults;
  readonly times: FleetTimes;
  readonly onDispatch: (order: OrderRequest) => void;
}

interface BookingServer {
  /** Sends an order from a process: waits for a slot, writes the bytes and waits for the answer. */
  dispatch(process: ProcessClock, order: OrderRequest): Promise<OrderOutcome>;
  getBookings(body: string): number;
}

/** Creates a fake backend server that books every order that reaches it, without deduplication. */
export default function createBookingServer(options: BookingServerOptions): BookingServer {
  const { clock, random, faults, times } = options;
  const bookings = new Map<string, number>();

  function bookOrder(order: OrderRequest): OrderOutcome {
    const count = (bookings.get(order.body) ?? 0) + 1;
    bookings.set(order.body, count);
    const body = JSON.stringify({ booking: `${order.body}/${count}` });
    return {
      kind: 'answered',
      answer: { status: HTTP_OK, contentType: 'application/json', body },
    };
  }

  async function serve(order: OrderRequest): Promise<OrderOutcome> {
    await sleep(clock, times.network);
    const isBroken = random.next() < faults.brokenShare;
    if (isBroken && random.next() < 0.5) {
      return { kind: 'mayHaveRun' };
    }
    const outcome = bookOrder(order);
    await sleep(clock, random.next() * times.service + times.network);
    return isBroken ? { kind: 'mayHaveRun' } : outcome;
  }

  return {
    async dispatch(process, order) {
      await sleep(process, random.next() * times.queue);
      if (random.next() < faults.refusedShare) {
        return { kind: 'notRun' };
      }
      options.onDispatch(order);
      return process.deliver(serve(order));
    },
    getBookings: (body) => bookings.get(body) ?? 0,
  };
}
