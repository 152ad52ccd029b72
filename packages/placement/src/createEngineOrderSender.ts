import { Agent, errors } from 'undici';
import { Debug, fail, ok } from '@rattanreel/core';
import type { Generation, Milliseconds, Outcome } from '@rattanreel/core';
import { z } from 'zod';
import type {
  EngineOrder,
  EngineOrderError,
  EngineOrderSender,
  EngineOrderSenderOptions,
  EngineState,
} from './types';

const DEFAULT_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;
const ACCEPTED_STATUS = 202;
const CONFLICT_STATUS = 409;
/** Error codes of failed connections: no byte of the request was written. */
const NOT_CONNECTED_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
];

const staleFenceSchema = z.object({ kind: z.literal('staleFence'), fence: z.number().int() });
const stateSchema = z.object({
  incarnation: z.string(),
  version: z.string(),
  role: z.string(),
  ready: z.boolean(),
});

function toOrderError(error: unknown): EngineOrderError {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const detail = error instanceof Error ? error.message : String(error);
  const isNotConnected =
    NOT_CONNECTED_CODES.includes(code) || error instanceof errors.ConnectTimeoutError;
  return isNotConnected ? { kind: 'notConnected', detail } : { kind: 'outcomeUnknown', detail };
}

function toRefusal(status: number, detail: string): EngineOrderError {
  if (status === CONFLICT_STATUS) {
    try {
      const stale = staleFenceSchema.safeParse(JSON.parse(detail));
      if (stale.success) {
        return { kind: 'staleFence', fence: stale.data.fence };
      }
    } catch {
      // The body is not JSON, so this is not a stale fence.
    }
  }
  return { kind: 'refused', status, detail };
}

/**
 * Creates the sender of orders over HTTP, with one connection for each, so that no order waits behind another. The
 * lease is checked by the monotonic clock immediately before the bytes are written. The sender never retries an order.
 */
export default function createEngineOrderSender(
  options: EngineOrderSenderOptions,
): EngineOrderSender {
  const timeout = options.timeout ?? DEFAULT_TIMEOUT_MILLISECONDS;
  const agent = new Agent({
    pipelining: 0,
    connect: { timeout },
    headersTimeout: timeout,
    bodyTimeout: timeout,
  });

  function isLeaseHeld(fence: Generation): boolean {
    const lease = options.lease.state();
    return lease.kind === 'held' && lease.generation === fence;
  }

  async function postOrder(
    address: string,
    order: EngineOrder,
    fence: Generation,
  ): Promise<Outcome<void, EngineOrderError>> {
    Debug.invariant(
      isLeaseHeld(fence),
      'order-without-lease',
      () => `an order under generation ${fence} is sent without its lease`,
    );
    const response = await agent.request({
      origin: address,
      path: '/orders',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...order, fence }),
      signal: AbortSignal.timeout(timeout),
    });
    const detail = await response.body.text();
    return response.statusCode === ACCEPTED_STATUS
      ? ok(undefined)
      : fail(toRefusal(response.statusCode, detail));
  }

  async function getState(address: string): Promise<Outcome<EngineState, EngineOrderError>> {
    const response = await agent.request({
      origin: address,
      path: '/load',
      method: 'GET',
      signal: AbortSignal.timeout(timeout),
    });
    const detail = await response.body.text();
    if (response.statusCode !== 200) {
      return fail({ kind: 'refused', status: response.statusCode, detail });
    }
    const parsed = stateSchema.safeParse(JSON.parse(detail));
    return parsed.success
      ? ok(parsed.data)
      : fail({ kind: 'invalidAnswer', detail: parsed.error.message });
  }

  return {
    async send(address, order, fence) {
      if (!isLeaseHeld(fence)) {
        return fail({ kind: 'leaseLost' });
      }
      try {
        return await postOrder(address, order, fence);
      } catch (error) {
        return fail(toOrderError(error));
      }
    },
    async readState(address) {
      try {
        return await getState(address);
      } catch (error) {
        return fail(
          error instanceof SyntaxError
            ? { kind: 'invalidAnswer', detail: error.message }
            : toOrderError(error),
        );
      }
    },
    close: () => agent.close(),
  };
}
