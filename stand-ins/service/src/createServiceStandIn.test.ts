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
  const cases: {
    name: string;
    fault: ServiceFault | undefined;
    expectedOutcome: string;
    expectedBookings: number;
  }[] = [
    { name: 'books an order', fault: undefined, expectedOutcome: '200', expectedBookings: 1 },
    {
      name: 'books and then resets',
      fault: { kind: 'resetAfter' },
      expectedOutcome: 'lost',
      expectedBookings: 1,
    },
    {
      name: 'resets without booking',
      fault: { kind: 'resetBefore' },
      expectedOutcome: 'lost',
      expectedBookings: 0,
    },
    {
      name: 'books and responds late',
      fault: { kind: 'answerLate', delay: 5 },
      expectedOutcome: '200',
      expectedBookings: 1,
    },
    {
      name: 'fails',
      fault: { kind: 'failure', status: 503 },
      expectedOutcome: '503',
      expectedBookings: 0,
    },
  ];
  for (const { name, fault, expectedOutcome, expectedBookings } of cases) {
    it(name, async () => {
      const service = await createServiceStandIn({ id: 'book-1' });
      service.injectFaults(fault === undefined ? [] : [fault]);
      expect(await post(service.address, 'order-1')).toEqual(expectedOutcome);
      const counts = service.getAudit().bookings.map(({ executions }) => executions);
      expect(counts).toEqual(expectedBookings === 0 ? [] : [expectedBookings]);
      await service.close();
    });
  }
});
