import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { Milliseconds, VirtualClock } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import { createObjectStoreModel, runInVirtualTime } from '@rattanreel/stand-in-platform';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';
import createOrderExecutor from './createOrderExecutor';
import createOrderFleet from './testing/createOrderFleet';
import type { FleetFaults, OrderFleet, SubmissionOutcome } from './testing/types';
import type { OrderKey, OrderRequest } from './types';

const KEYED: OrderKey = { kind: 'callerKey', key: 'k-1' };
const BODY = 'hulls';

function createOrder(key: OrderKey, body = BODY, customer = 'cushions'): OrderRequest {
  return { customer, method: 'POST', path: '/orders', body, key };
}

/** The setup of one failure case: a fleet of hosts `a`, `b` and `c` with fixed latencies. */
interface Stage {
  readonly clock: VirtualClock;
  readonly model: ObjectStoreModel;
  readonly fleet: OrderFleet;
  wait(span: Milliseconds): Promise<void>;
  /** Submits and waits for the result. */
  submit(host: string, submitted: OrderRequest): Promise<SubmissionOutcome>;
  finish<Value>(work: Promise<Value>): Promise<Value>;
}

function createStage(faults: Partial<FleetFaults> = {}): Stage {
  const clock = createVirtualClock();
  const random = createRandom(5);
  const model = createObjectStoreModel({ clock, random, latency: 4 });
  const times = { queue: 0, service: 0, network: 50 };
  const fleet = createOrderFleet({ clock, random, model, hosts: ['a', 'b', 'c'], faults, times });
  const finish = <Value>(work: Promise<Value>) => runInVirtualTime(clock, work);
  return {
    clock,
    model,
    fleet,
    finish,
    submit: (host, submitted) => finish(fleet.submit(host, submitted)),
    wait: (span) => finish(sleep(clock, span)),
  };
}

/** Describes a submission's outcome: the booking, or the error with its execution. */
function describeOutcome(outcome: SubmissionOutcome): string {
  if (outcome.kind === 'connectionLost') {
    return outcome.kind;
  }
  const { result } = outcome;
  return result.kind === 'ok'
    ? result.value.body
    : `${result.error.kind} ${result.error.execution}`;
}

const BOOKED = JSON.stringify({ booking: `${BODY}/1` });
const CLAIMANT_GONE = 'claimantGone may-have-run';
const CONNECTION_LOST = 'connectionLost';
/** Times after a submission to `a`: the claim takes 4 ms, the transfer to the booking server 50 ms more. */
const CLAIM_IN_FLIGHT: Milliseconds = 1;
const CLAIM_WRITTEN: Milliseconds = 3;
const DISPATCHED: Milliseconds = 20;
const BOOKED_UNANSWERED: Milliseconds = 60;
const RECORDED: Milliseconds = 200;

/** Ends `a` the given time after a submission to it, waits until that is detected, and retries at `b`. */
async function retryAfterEnd(stage: Stage, delay: Milliseconds): Promise<SubmissionOutcome[]> {
  const first = stage.fleet.submit('a', createOrder(KEYED));
  await stage.wait(delay);
  stage.fleet.end('a');
  await stage.wait(4_000);
  return [await stage.finish(first), await stage.submit('b', createOrder(KEYED))];
}

interface FailureCase {
  readonly name: string;
  readonly faults?: Partial<FleetFaults>;
  readonly run: (stage: Stage) => Promise<readonly SubmissionOutcome[]>;
  readonly expected: readonly string[];
  readonly booked: number;
}

const KEYED_CASES: readonly FailureCase[] = [
  {
    name: 'a retry at another host returns the complete recorded answer',
    run: async (stage) => [
      await stage.submit('a', createOrder(KEYED)),
      await stage.submit('b', createOrder(KEYED)),
    ],
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the claim takes effect and the answer of the store is lost',
    run: async (stage) => {
      stage.model.failNextWrite({ kind: 'loseAnswer' });
      return [
        await stage.submit('a', createOrder(KEYED)),
        await stage.submit('b', createOrder(KEYED)),
      ];
    },
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the claim takes effect after its attempt was given up, and a retry at another host takes it over',
    run: async (stage) => {
      stage.model.failNextWrite({ kind: 'landLate', delay: 15_000 });
      const first = stage.fleet.submit('a', createOrder(KEYED));
      await stage.wait(10);
      stage.model.setFaults({ outage: 'refusing' });
      const refused = await stage.finish(first);
      stage.model.setFaults({ outage: 'none' });
      await stage.wait(16_000);
      return [refused, await stage.submit('b', createOrder(KEYED))];
    },
    expected: ['storeUnavailable not-run', BOOKED],
    booked: 1,
  },
  {
    name: 'the claim takes effect late during two concurrent attempts, and only one of them holds it',
    run: async (stage) => {
      stage.model.failNextWrite({ kind: 'landLate', delay: 1_020 });
      const both = [
        stage.fleet.submit('a', createOrder(KEYED)),
        stage.fleet.submit('b', createOrder(KEYED)),
      ];
      return stage.finish(Promise.all(both));
    },
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the claimant ends while its claim is in flight',
    run: (stage) => retryAfterEnd(stage, CLAIM_IN_FLIGHT),
    expected: [CONNECTION_LOST, CLAIMANT_GONE],
    booked: 0,
  },
  {
    name: 'the claimant ends before the dispatch',
    run: (stage) => retryAfterEnd(stage, CLAIM_WRITTEN),
    expected: [CONNECTION_LOST, CLAIMANT_GONE],
    booked: 0,
  },
  {
    name: 'the claimant ends after the dispatch',
    run: (stage) => retryAfterEnd(stage, DISPATCHED),
    expected: [CONNECTION_LOST, CLAIMANT_GONE],
    booked: 1,
  },
  {
    name: 'the claimant ends before it receives the answer',
    run: (stage) => retryAfterEnd(stage, BOOKED_UNANSWERED),
    expected: [CONNECTION_LOST, CLAIMANT_GONE],
    booked: 1,
  },
  {
    name: 'the claimant ends after it recorded the outcome',
    run: (stage) => retryAfterEnd(stage, RECORDED),
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the claimant is paused before the dispatch, is reported as gone, and resumes',
    run: async (stage) => {
      const first = stage.fleet.submit('a', createOrder(KEYED));
      await stage.wait(CLAIM_WRITTEN);
      stage.fleet.pause('a');
      await stage.wait(5_000);
      const retried = await stage.submit('b', createOrder(KEYED));
      stage.fleet.resume('a');
      const answered = await stage.finish(first);
      return [retried, answered, await stage.submit('c', createOrder(KEYED))];
    },
    expected: [CLAIMANT_GONE, BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the claimant resumes after the dispatch window and refuses, and a retry runs the order',
    run: async (stage) => {
      const first = stage.fleet.submit('a', createOrder(KEYED));
      await stage.wait(CLAIM_WRITTEN);
      stage.fleet.pause('a');
      await stage.wait(60_000);
      stage.fleet.resume('a');
      return [await stage.finish(first), await stage.submit('b', createOrder(KEYED))];
    },
    expected: ['refused not-run', BOOKED],
    booked: 1,
  },
  {
    name: 'concurrent retries at several hosts',
    run: (stage) => {
      const hosts = ['a', 'b', 'c', 'a'];
      return stage.finish(
        Promise.all(hosts.map((host) => stage.fleet.submit(host, createOrder(KEYED)))),
      );
    },
    expected: [BOOKED, BOOKED, BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the dispatch is refused, and a retry at another host finds the recorded refusal',
    faults: { refusedShare: 1 },
    run: async (stage) => [
      await stage.submit('a', createOrder(KEYED)),
      await stage.submit('b', createOrder(KEYED)),
    ],
    expected: ['refused not-run', 'refused not-run'],
    booked: 0,
  },
  {
    name: 'the connection to the backend server breaks',
    faults: { brokenShare: 1 },
    run: async (stage) => [
      await stage.submit('a', createOrder(KEYED)),
      await stage.submit('b', createOrder(KEYED)),
    ],
    expected: ['dispatchInDoubt may-have-run', 'dispatchInDoubt may-have-run'],
    booked: 1,
  },
  {
    name: 'the store is down before the claim, and no host has run the order',
    run: async (stage) => {
      stage.model.setFaults({ outage: 'refusing' });
      return [await stage.submit('a', createOrder(KEYED))];
    },
    expected: ['storeUnavailable not-run'],
    booked: 0,
  },
  {
    name: 'the store is down before the claim, and the host that ran the order was replaced',
    run: async (stage) => {
      const first = await stage.submit('a', createOrder(KEYED));
      stage.model.setFaults({ outage: 'refusing' });
      stage.fleet.end('a');
      stage.fleet.start('a');
      return [first, await stage.submit('b', createOrder(KEYED))];
    },
    expected: [BOOKED, 'storeUnavailable may-have-run'],
    booked: 1,
  },
  {
    name: 'the store goes down after the order ran, and another host queries the one that ran it',
    run: async (stage) => {
      const first = await stage.submit('a', createOrder(KEYED));
      stage.model.setFaults({ outage: 'silent' });
      return [first, await stage.submit('b', createOrder(KEYED))];
    },
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the store goes down while the order runs at another host',
    run: async (stage) => {
      const first = stage.fleet.submit('a', createOrder(KEYED));
      await stage.wait(DISPATCHED);
      stage.model.setFaults({ outage: 'silent' });
      const second = stage.fleet.submit('b', createOrder(KEYED));
      return [await stage.finish(first), await stage.finish(second)];
    },
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the store is down when the order ends, and the outcome is recorded later',
    run: async (stage) => {
      const first = stage.fleet.submit('a', createOrder(KEYED));
      await stage.wait(DISPATCHED);
      stage.model.setFaults({ outage: 'refusing' });
      const answered = await stage.finish(first);
      await stage.wait(30_000);
      stage.model.setFaults({ outage: 'none' });
      await stage.wait(10_000);
      stage.fleet.end('a');
      await stage.wait(4_000);
      return [answered, await stage.submit('b', createOrder(KEYED))];
    },
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'a key reused for another body is refused, at the same host and at another',
    run: async (stage) => [
      await stage.submit('a', createOrder(KEYED)),
      await stage.submit('a', createOrder(KEYED, 'felt')),
      await stage.submit('b', createOrder(KEYED, 'felt')),
    ],
    expected: [BOOKED, 'keyReusedForAnotherRequest not-run', 'keyReusedForAnotherRequest not-run'],
    booked: 1,
  },
  {
    name: 'the same key of another customer is another order',
    run: async (stage) => [
      await stage.submit('a', createOrder(KEYED)),
      await stage.submit('b', createOrder(KEYED, 'felt', 'wholesaler')),
    ],
    expected: [BOOKED, JSON.stringify({ booking: 'felt/1' })],
    booked: 1,
  },
];

/** Creates an order with a ticket that `a` issued. */
function createTicketOrder(stage: Stage, body = BODY): OrderRequest {
  return createOrder(
    { kind: 'ticket', ticket: stage.fleet.getExecutor('a').issueTicket('cushions') },
    body,
  );
}

const TICKET_CASES: readonly FailureCase[] = [
  {
    name: 'a ticket is forwarded to its issuer, with the store down',
    run: async (stage) => {
      stage.model.setFaults({ outage: 'silent' });
      const submitted = createTicketOrder(stage);
      return [await stage.submit('b', submitted), await stage.submit('a', submitted)];
    },
    expected: [BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'concurrent submissions of one ticket at several hosts',
    run: (stage) => {
      const submitted = createTicketOrder(stage);
      const hosts = ['a', 'b', 'c'];
      return stage.finish(Promise.all(hosts.map((host) => stage.fleet.submit(host, submitted))));
    },
    expected: [BOOKED, BOOKED, BOOKED],
    booked: 1,
  },
  {
    name: 'the issuer of a ticket has ended',
    run: async (stage) => {
      const submitted = createTicketOrder(stage);
      stage.fleet.end('a');
      await stage.wait(4_000);
      return [await stage.submit('b', submitted)];
    },
    expected: ['ticketHolderGone may-have-run'],
    booked: 0,
  },
  {
    name: 'the issuer of a ticket was replaced by a new incarnation',
    run: async (stage) => {
      const submitted = createTicketOrder(stage);
      stage.fleet.end('a');
      stage.fleet.start('a');
      return [await stage.submit('a', submitted), await stage.submit('b', submitted)];
    },
    expected: ['ticketHolderGone may-have-run', 'ticketHolderGone may-have-run'],
    booked: 0,
  },
  {
    name: 'the issuer of a ticket does not answer',
    faults: { lostAnswerShare: 1 },
    run: async (stage) => [await stage.submit('b', createTicketOrder(stage))],
    expected: ['dispatchInDoubt may-have-run'],
    booked: 1,
  },
  {
    name: 'a forged ticket is refused, by its issuer and when forwarded to it',
    run: async (stage) => {
      const { key } = createTicketOrder(stage);
      const ticket = key.kind === 'ticket' ? `${key.ticket.slice(0, -4)}AAAA` : '';
      const forged = createOrder({ kind: 'ticket', ticket });
      return [await stage.submit('a', forged), await stage.submit('b', forged)];
    },
    expected: ['ticketUnknown not-run', 'ticketUnknown not-run'],
    booked: 0,
  },
  {
    name: 'a ticket of another customer and a malformed ticket are refused',
    run: async (stage) => {
      const { key } = createTicketOrder(stage);
      const stolen = createOrder(key, BODY, 'wholesaler');
      const garbled = createOrder({ kind: 'ticket', ticket: 'no ticket' });
      return [await stage.submit('a', stolen), await stage.submit('b', garbled)];
    },
    expected: ['ticketUnknown not-run', 'ticketUnknown not-run'],
    booked: 0,
  },
  {
    name: 'a ticket reused for another body is refused',
    run: async (stage) => {
      const submitted = createTicketOrder(stage);
      const reused = { ...submitted, body: 'felt' };
      return [await stage.submit('a', submitted), await stage.submit('b', reused)];
    },
    expected: [BOOKED, 'keyReusedForAnotherRequest not-run'],
    booked: 1,
  },
  {
    name: 'orders without a key are each dispatched once, with the store down',
    run: async (stage) => {
      stage.model.setFaults({ outage: 'refusing' });
      return [await stage.submit('a', createOrder({ kind: 'none' }))];
    },
    expected: [BOOKED],
    booked: 1,
  },
];

describe(createOrderExecutor.name, () => {
  for (const { name, faults, run, expected, booked } of [...KEYED_CASES, ...TICKET_CASES]) {
    it(name, async () => {
      const stage = createStage(faults);
      const outcomes = await run(stage);
      expect(outcomes.map(describeOutcome)).toEqual([...expected]);
      expect(stage.fleet.getBookings(BODY)).toEqual(booked);
    });
  }
});
