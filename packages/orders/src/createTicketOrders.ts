import { Debug, fail } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import createTicketIssuer from './createTicketIssuer';
import getRequestDigest from './getRequestDigest';
import toResult from './toResult';
import type {
  AttemptRegistry,
  OrderExecutorOptions,
  OrderOwner,
  OrderRequest,
  OrderResult,
  OwnerAnswer,
} from './types';

const RETRY_AFTER: Milliseconds = 2_000;
const TICKET_UNKNOWN = fail({ kind: 'ticketUnknown', execution: 'not-run' } as const);
const TICKET_HOLDER_GONE = fail({ kind: 'ticketHolderGone', execution: 'may-have-run' } as const);
const IN_DOUBT = toResult({ kind: 'mayHaveRun' });
const OWNER_UNREACHABLE = fail({
  kind: 'dispatchInDoubt',
  execution: 'may-have-run',
  reason: 'ownerUnreachable',
  retryAfter: RETRY_AFTER,
} as const);

interface TicketOrdersOptions extends OrderExecutorOptions {
  readonly attempts: AttemptRegistry;
}

interface TicketOrders {
  issue(customer: string): string;
  submit(order: OrderRequest, ticket: string): Promise<OrderResult>;
  /** Answers a peer that forwarded an order with a ticket. */
  answerPeer(order: OrderRequest, ticket: string): Promise<OwnerAnswer>;
}

/** Converts the answer of a ticket's issuer to the result of the forwarded order. */
function toForwardedResult(answer: OwnerAnswer): OrderResult {
  switch (answer.kind) {
    case 'result':
      return answer.result;
    case 'gone':
      return TICKET_HOLDER_GONE;
    case 'unreachable':
      return OWNER_UNREACHABLE;
    case 'givenUp':
    case 'unknown':
      return IN_DOUBT;
    default:
      return Debug.assertNever(answer);
  }
}

/** Handles orders with tickets: only the incarnation that issued a ticket dispatches its order. */
export default function createTicketOrders(options: TicketOrdersOptions): TicketOrders {
  const { entryHost, incarnation, random, attempts, askOwner } = options;
  const ticketIssuer = createTicketIssuer({ entryHost, incarnation, random });

  async function submitLocally(order: OrderRequest, id: string): Promise<OrderResult> {
    const requestDigest = getRequestDigest(order);
    const joined = attempts.tryJoin(id, requestDigest);
    if (joined !== undefined) {
      return joined;
    }
    if (attempts.tryGet(id) === undefined && !ticketIssuer.tryRedeem(id)) {
      // The ticket was used and its order evicted, or it was dropped unused; the two cannot be distinguished.
      return IN_DOUBT;
    }
    return attempts.begin({
      name: id,
      requestDigest,
      nonce: random.identifier(),
      run: async (entry) => {
        attempts.advance(entry, { kind: 'claimWritten' });
        return toResult(await attempts.dispatch(entry, order));
      },
    });
  }

  async function forward(order: OrderRequest, owner: OrderOwner): Promise<OrderResult> {
    if (owner.entryHost === entryHost) {
      return TICKET_HOLDER_GONE;
    }
    options.onDecision?.({ kind: 'askedOwner', order: owner.incarnation });
    return toForwardedResult(await askOwner(owner, order));
  }

  return {
    issue: ticketIssuer.issue,
    async submit(order, ticket) {
      const inspected = ticketIssuer.verify(ticket, order.customer);
      switch (inspected.kind) {
        case 'malformed':
        case 'forged':
          return TICKET_UNKNOWN;
        case 'own':
          return submitLocally(order, inspected.id);
        case 'elsewhere':
          return forward(order, inspected.owner);
        default:
          return Debug.assertNever(inspected);
      }
    },
    async answerPeer(order, ticket) {
      const inspected = ticketIssuer.verify(ticket, order.customer);
      switch (inspected.kind) {
        case 'malformed':
        case 'forged':
          return { kind: 'result', result: TICKET_UNKNOWN };
        case 'own':
          return { kind: 'result', result: await submitLocally(order, inspected.id) };
        case 'elsewhere':
          return inspected.owner.entryHost === entryHost
            ? { kind: 'gone' }
            : { kind: 'unknown', hasForgotten: false };
        default:
          return Debug.assertNever(inspected);
      }
    },
  };
}
