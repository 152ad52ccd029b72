import type { IncomingMessage } from 'node:http';
import type { PoolId, Random } from '@rattanreel/core';
import planRequest from './front/planRequest';
import relayRequest from './front/relayRequest';
import sendRejection from './front/sendRejection';
import type { CallerExchange, RequestObserver, RequestPlan } from './front/types';
import type { PoolState } from './pools/types';
import type {
  HeaderNames,
  Pools,
  RefusalReason,
  RelayContext,
  RelayCustomer,
  RouteTarget,
} from './types';
import type { RequestHabits, RouteTable, SharedQuota } from './decisions/types';
import type { ServerConnections } from './servers/types';

/** A caller keeps to a time to come back of at most this part of what it has left. */
const MOST_RETRY_PART = 1 / 3;

interface RequestDeskOptions {
  readonly context: RelayContext;
  readonly names: HeaderNames;
  readonly pools: Pools;
  readonly quota: SharedQuota;
  readonly habits: RequestHabits;
  readonly connections: ServerConnections;
  readonly observer: RequestObserver;
  readonly getRoutes: () => RouteTable | undefined;
  readonly getCustomersByKey: () => ReadonlyMap<string, RelayCustomer> | undefined;
}

interface RequestDesk {
  take(exchange: CallerExchange, incoming: IncomingMessage): void;
  refuseTooLarge(exchange: CallerExchange): void;
}

/** One target by its weight. */
function chooseTarget(targets: readonly RouteTarget[], random: Random): PoolId {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  const chosen = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (chosen ?? targets.at(-1)!).pool;
}

/** Takes callers' requests in: rejects, refuses or relays each. */
export default function createRequestDesk(options: RequestDeskOptions): RequestDesk {
  const { context, names, pools, quota, habits, observer } = options;
  const { clock, random } = context;

  function refuse(
    exchange: CallerExchange,
    plan: RequestPlan,
    reason: RefusalReason,
    wait: number,
    pool?: PoolState,
  ): void {
    const left = plan.endAt - clock.now();
    const retryAfter = Math.min(wait, left * MOST_RETRY_PART);
    habits.noteRefused(plan.route.name, clock.now());
    observer.refused(plan, reason, Math.round(retryAfter), pool);
    sendRejection(exchange, {
      status: reason === 'overQuota' ? 429 : 503,
      code: reason,
      execution: 'not-run',
      retryAfter: left > 0 ? retryAfter : undefined,
    });
  }

  function relay(exchange: CallerExchange, plan: RequestPlan): void {
    const customer = plan.customer?.name;
    if (customer !== undefined) {
      const spend = quota.trySpend(customer, plan.cost, clock.now());
      if (spend.kind === 'over') {
        refuse(exchange, plan, 'overQuota', spend.retryAfter);
        return;
      }
    }
    const desk = pools.getDesk(chooseTarget(plan.route.targets, random));
    relayRequest({
      clock,
      exchange,
      plan,
      desk,
      connections: options.connections,
      names,
      observer,
      refuse(reason) {
        if (customer !== undefined) {
          quota.giveBack(customer, plan.cost);
        }
        const { urgency } = plan;
        refuse(exchange, plan, reason, desk.getRetryAfter(urgency), desk.describe(urgency));
      },
      failWith(status, code) {
        observer.failed(plan, status, code);
        sendRejection(exchange, { status, code, execution: 'may-have-run' });
      },
    });
  }

  return {
    take(exchange, incoming) {
      const planned = planRequest({
        headers: incoming.headers,
        target: exchange.target,
        arrivedAt: exchange.arrivedAt,
        names,
        routes: options.getRoutes(),
        customersByKey: options.getCustomersByKey(),
        habits,
        random,
      });
      if (planned.kind === 'ok') {
        relay(exchange, planned.plan);
        return;
      }
      const { rejection } = planned;
      const id = incoming.headers[names.requestId];
      observer.rejected(typeof id === 'string' ? id : '', rejection);
      sendRejection(exchange, { ...rejection, execution: 'not-run' });
    },
    refuseTooLarge(exchange) {
      observer.rejected('', { status: 413, code: 'bodyTooLarge' });
      sendRejection(exchange, { status: 413, code: 'bodyTooLarge', execution: 'not-run' });
    },
  };
}
