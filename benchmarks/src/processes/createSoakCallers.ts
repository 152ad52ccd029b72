import type { Random } from '@rattanreel/core';
import { Pool, request as send } from 'undici';
import soakLimits from './soakLimits';
import type { SoakBounds, SoakRecorder, SoakHost, SoakRoute } from './types';

const REQUESTS_PER_SECOND_PER_HOST = 15;
/** Requests from the customer with a quota over all hosts: three quarters of its quota. */
const QUOTA_CUSTOMER_REQUESTS_PER_SECOND = 9;
/** Share of requests from the customer with a quota during a burst. */
const QUOTA_CUSTOMER_BURST_SHARE = 0.8;
/** Share of the other customer's requests that still use the replaced key. */
const PREVIOUS_KEY_SHARE = 0.3;
/** More than a host has in flight, so that no request waits for a connection. */
const CONNECTIONS_PER_HOST = 64;
const READINESS_POLL_INTERVAL_MILLISECONDS = 150;
/** Timeout of a caller: well beyond the route's timeout. */
const CALLER_TIMEOUT_MILLISECONDS = 6_000;

const routes: readonly SoakRoute[] = ['order', 'order', 'look', 'draft'];

interface SoakCallersOptions {
  readonly hosts: readonly SoakHost[];
  readonly recorder: SoakRecorder;
  readonly random: Random;
  readonly bounds: SoakBounds;
  readonly getKeys: () => { readonly current: string; readonly previous: string | undefined };
}

interface SoakCallers {
  /** Raises the rate of the customer with a quota far above its usual for `duration`. */
  burst(duration: number): void;
  countReadyHosts(): number;
  /** Stops the arrivals and waits for the requests in flight. */
  stop(): Promise<void>;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Creates callers that keep connections open to every host and send requests to the ready ones. */
export default function createSoakCallers(options: SoakCallersOptions): SoakCallers {
  const { hosts, recorder, random, bounds } = options;
  const pools = hosts.map(
    ({ callerUrl }) => new Pool(callerUrl, { connections: CONNECTIONS_PER_HOST }),
  );
  const usualQuotaCustomerShare =
    QUOTA_CUSTOMER_REQUESTS_PER_SECOND / (REQUESTS_PER_SECOND_PER_HOST * hosts.length);
  const ready = hosts.map(() => false);
  const requestsInFlight = new Set<Promise<void>>();
  let burstUntil = 0;
  let isStopped = false;

  async function pollReadiness(): Promise<void> {
    await Promise.all(
      hosts.map(async ({ readinessUrl }, index) => {
        try {
          const { statusCode, body } = await send(readinessUrl, { headersTimeout: 300 });
          await body.dump();
          ready[index] = statusCode === 200;
        } catch {
          // A host that does not respond, which the faults cause, is not ready.
          ready[index] = false;
        }
      }),
    );
    if (!isStopped) {
      setTimeout(pollReadiness, READINESS_POLL_INTERVAL_MILLISECONDS);
    }
  }

  function drawCustomer(): { readonly customer: string; readonly key: string } {
    const quotaCustomerShare =
      recorder.now() < burstUntil ? QUOTA_CUSTOMER_BURST_SHARE : usualQuotaCustomerShare;
    if (random.next() < quotaCustomerShare) {
      return { customer: soakLimits.quota.customer, key: 'key-small' };
    }
    const { current, previous } = options.getKeys();
    const key = random.next() < PREVIOUS_KEY_SHARE ? (previous ?? current) : current;
    return { customer: 'large', key };
  }

  async function sendRequest(host: number): Promise<void> {
    const id = random.identifier();
    const route = routes[random.integer(0, routes.length - 1)]!;
    const { customer, key } = drawCustomer();
    const { timeout } = bounds;
    recorder.recordSent({ id, route, host, customer, key, at: recorder.now(), timeout });
    try {
      const response = await pools[host]!.request({
        path: `/${route}/`,
        method: 'POST',
        body: 'soak',
        headers: {
          host: 'soak.example',
          'x-rattanreel-request-id': id,
          'x-rattanreel-key': key,
          'x-rattanreel-deadline-ms': String(timeout),
        },
        headersTimeout: CALLER_TIMEOUT_MILLISECONDS,
        bodyTimeout: CALLER_TIMEOUT_MILLISECONDS,
      });
      const body = await response.body.text();
      recorder.recordEnd(id, {
        kind: 'answered',
        status: response.statusCode,
        answersTo: response.headers['x-rattanreel-request-id']?.toString(),
        seal: response.headers['x-rattanreel-response-seal']?.toString(),
        body,
        closes: response.headers.connection === 'close',
      });
    } catch (error) {
      recorder.recordEnd(id, { kind: 'cut', reason: describeError(error) });
    }
  }

  function scheduleNextRequest(host: number): void {
    const interarrivalTime = (-Math.log(1 - random.next()) * 1_000) / REQUESTS_PER_SECOND_PER_HOST;
    setTimeout(() => {
      if (isStopped) {
        return;
      }
      if (ready[host]) {
        const pending = sendRequest(host).finally(() => requestsInFlight.delete(pending));
        requestsInFlight.add(pending);
      }
      scheduleNextRequest(host);
    }, interarrivalTime);
  }

  void pollReadiness();
  hosts.forEach((_, index) => scheduleNextRequest(index));
  return {
    burst(duration) {
      burstUntil = recorder.now() + duration;
    },
    countReadyHosts: () => ready.filter(Boolean).length,
    async stop() {
      isStopped = true;
      await Promise.all(requestsInFlight);
      await Promise.all(pools.map((pool) => pool.destroy()));
    },
  };
}
