import type { Dispatcher } from 'undici';
import type { Clock } from '@rattanreel/core';
import readProblem from './readProblem';
import type { CallerRecord, OrderSubmission } from './types';

const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECTION_STATUS = 300;

function createKeyHeaders({ planned, ticket }: OrderSubmission): Record<string, string> {
  switch (planned.key) {
    case 'none':
      return {};
    case 'callerKey':
      return { 'idempotency-key': planned.reference };
    case 'ticket':
      return ticket === undefined ? {} : { 'x-ticket': ticket };
    default:
      return planned.key satisfies never;
  }
}

/** Submits an order to one entry host and records its outcome. */
export default async function sendOrder(
  dispatcher: Dispatcher,
  clock: Clock,
  submission: OrderSubmission,
): Promise<CallerRecord> {
  const { planned, target, deadline } = submission;
  const startedAt = clock.now();
  const baseRecord = {
    planned,
    firstTokenAfter: undefined,
    outputTokens: 0,
    crossed: false,
  };
  try {
    const response = await dispatcher.request({
      origin: submission.entryHost,
      path: `/services/${target.service}${target.path}`,
      method: 'POST',
      headers: {
        authorization: `Bearer ${planned.customer.apiKey}`,
        'content-type': 'application/json',
        'x-tier': planned.tier,
        ...(deadline === undefined ? {} : { 'x-deadline-ms': String(deadline) }),
        ...createKeyHeaders(submission),
      },
      body: JSON.stringify({ reference: planned.reference, item: 'underlay', quantity: 1 }),
    });
    const status = response.statusCode;
    const text = await response.body.text();
    const duration = clock.now() - startedAt;
    const request = response.headers['x-request-id'];
    if (status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS) {
      const crossed = !text.includes(planned.reference);
      return {
        ...baseRecord,
        outcome: crossed ? 'cutShort' : 'answeredWhole',
        crossed,
        status,
        problem: undefined,
        request: typeof request === 'string' ? request : undefined,
        duration,
      };
    }
    return { ...baseRecord, ...readProblem(status, text), status, duration };
  } catch (error) {
    const problem = error instanceof Error ? error.message : String(error);
    const duration = clock.now() - startedAt;
    return { ...baseRecord, outcome: 'cutShort', request: undefined, status: 0, problem, duration };
  }
}
