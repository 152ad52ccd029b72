import type { Random } from '@rattanreel/core';
import { Pool, request as send } from 'undici';
import soakLimits from './soakLimits';
import type { PromiseBounds, PromiseLedger, SoakHost, SoakRoute } from './types';

const REQUESTS_PER_SECOND_AND_HOST = 15;
/** Part of the requests that the customer with a quota sends: three quarters of its quota over four hosts. */
const SMALL_PART = 0.15;
/** The same while it sends many times its usual. */
const BURST_PART = 0.8;
/** Part of the other customer's requests that still bear the key that was replaced. */
const OLD_KEY_PART = 0.3;
const CONNECTIONS = 6;
const READY_INTERVAL_MS = 150;
/** Time after which a caller gives up: well beyond the route's time-out. */
const PATIENCE_MS = 6_000;

const routes: readonly SoakRoute[] = ['order', 'order', 'look', 'draft'];

interface SoakCallersOptions {
  readonly hosts: readonly SoakHost[];
  readonly ledger: PromiseLedger;
  readonly random: Random;
  readonly bounds: PromiseBounds;
  readonly getKeys: () => { readonly current: string; readonly previous: string | undefined };
}

interface SoakCallers {
  /** Makes the customer with a quota send many times its usual for a while. */
  burst(duration: number): void;
  countReady(): number;
  /** Ends the arrivals and waits for the requests on the way. */
  stop(): Promise<void>;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Callers that keep connections open to every host and send to those that are ready. */
export default function createSoakCallers(options: SoakCallersOptions): SoakCallers {
  const { hosts, ledger, random, bounds } = options;
  const pools = hosts.map(({ callers }) => new Pool(callers, { connections: CONNECTIONS }));
  const ready = hosts.map(() => false);
  const onTheWay = new Set<Promise<void>>();
  let burstUntil = 0;
  let isStopped = false;

  async function lookForReady(): Promise<void> {
    await Promise.all(
      hosts.map(async ({ readiness }, index) => {
        try {
          const { statusCode, body } = await send(readiness, { headersTimeout: 300 });
          await body.dump();
          ready[index] = statusCode === 200;
        } catch {
          // A host that does not answer is not ready; that it does not is what the faults do.
          ready[index] = false;
        }
      }),
    );
    if (!isStopped) {
      setTimeout(lookForReady, READY_INTERVAL_MS);
    }
  }

  function drawCustomer(): { readonly customer: string; readonly key: string } {
    const smallPart = ledger.now() < burstUntil ? BURST_PART : SMALL_PART;
    if (random.next() < smallPart) {
      return { customer: soakLimits.quota.customer, key: 'key-small' };
    }
    const { current, previous } = options.getKeys();
    const key = random.next() < OLD_KEY_PART ? (previous ?? current) : current;
    return { customer: 'large', key };
  }

  async function call(host: number): Promise<void> {
    const id = random.identifier();
    const route = routes[random.integer(0, routes.length - 1)]!;
    const { customer, key } = drawCustomer();
    ledger.sent({ id, route, host, customer, key, at: ledger.now() });
    try {
      const answer = await pools[host]!.request({
        path: `/${route}/`,
        method: 'POST',
        body: 'soak',
        headers: {
          host: 'soak.example',
          'x-rattanreel-request-id': id,
          'x-rattanreel-key': key,
          'x-rattanreel-deadline-ms': String(bounds.timeout),
        },
        headersTimeout: PATIENCE_MS,
        bodyTimeout: PATIENCE_MS,
      });
      const body = await answer.body.text();
      ledger.ended(id, {
        kind: 'answered',
        status: answer.statusCode,
        answersTo: answer.headers['x-rattanreel-request-id']?.toString(),
        seal: answer.headers['x-rattanreel-response-seal']?.toString(),
        body,
      });
    } catch (error) {
      ledger.ended(id, { kind: 'cut', reason: describeError(error) });
    }
  }

  function callOn(host: number): void {
    const gap = (-Math.log(1 - random.next()) * 1_000) / REQUESTS_PER_SECOND_AND_HOST;
    setTimeout(() => {
      if (isStopped) {
        return;
      }
      if (ready[host]) {
        const called = call(host).finally(() => onTheWay.delete(called));
        onTheWay.add(called);
      }
      callOn(host);
    }, gap);
  }

  void lookForReady();
  hosts.forEach((_, index) => callOn(index));
  return {
    burst(duration) {
      burstUntil = ledger.now() + duration;
    },
    countReady: () => ready.filter(Boolean).length,
    async stop() {
      isStopped = true;
      await Promise.all(onTheWay);
      await Promise.all(pools.map((pool) => pool.destroy()));
    },
  };
}
