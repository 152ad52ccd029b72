import { describe, it } from 'node:test';
import { expect } from 'earl';
import createServiceStandIn from './createServiceStandIn';
import type { ServiceFault } from './types';

async function post(address: string, reference: string): Promise<string> {
  try {
    const response = await fetch(`${address}/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-request-id': `request-${reference}` },
      body: JSON.stringify({ reference }),
      signal: AbortSignal.timeout(1_000),
    });
    return `${response.status}`;
  } catch {
    return 'lost';
  }
}

describe(createServiceStandIn.name, () => {
  const cases: { name: string; fault: ServiceFault | undefined; seen: string; booked: number }[] = [
    { name: 'books an order', fault: undefined, seen: '200', booked: 1 },
    { name: 'books and then resets', fault: { kind: 'resetAfter' }, seen: 'lost', booked: 1 },
    { name: 'resets without booking', fault: { kind: 'resetBefore' }, seen: 'lost', booked: 0 },
    {
      name: 'books and responds late',
      fault: { kind: 'answerLate', delay: 5 },
      seen: '200',
      booked: 1,
    },
    { name: 'fails', fault: { kind: 'failure', status: 503 }, seen: '503', booked: 0 },
  ];
  for (const { name, fault, seen, booked } of cases) {
    it(name, async () => {
      const service = await createServiceStandIn({ id: 'book-1' });
      service.injectFaults(fault === undefined ? [] : [fault]);
      expect(await post(service.address, 'order-1')).toEqual(seen);
      const counts = service.getAudit().bookings.map(({ executions }) => executions);
      expect(counts).toEqual(booked === 0 ? [] : [booked]);
      await service.close();
    });
  }
});
