import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { HeaderNames } from '../types';
import selectHeaders from './selectHeaders';
import type { CallerExchange, RequestPlan } from './types';

interface AttemptHeadersOptions {
  readonly exchange: CallerExchange;
  readonly plan: RequestPlan;
  readonly names: HeaderNames;
  readonly server: BackendServerId;
  readonly now: Milliseconds;
  /** Identifier of the last event sent to the caller; undefined when nothing is to be resumed. */
  readonly lastEventId: string | undefined;
}

/** Creates the headers for one attempt: the caller's headers and those that the relay sets. */
export default function createAttemptHeaders(options: AttemptHeadersOptions): string[] {
  const { exchange, plan, names, now } = options;
  const mayResume = options.lastEventId === undefined && plan.route.isResumable;
  const headers = selectHeaders(
    exchange.rawHeaders,
    (name) =>
      names.reserved.has(name) ||
      name === 'content-length' ||
      (name === names.lastEventId && !mayResume),
  );
  const remainingTime = Math.max(Math.floor(plan.deadlineAt - now), 1);
  headers.push(names.deadline, String(remainingTime), names.expectedServer, options.server);
  if (plan.customer !== undefined) {
    headers.push(names.customer, plan.customer.name);
  }
  if (options.lastEventId !== undefined) {
    headers.push(names.lastEventId, options.lastEventId);
  }
  return headers;
}
