import { createRandom } from '@rattanreel/core';
import type { Random } from '@rattanreel/core';
import type { LoadCustomer, LoadOptions, OrderKeyKind, PlannedRequest } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_ORDER_SHARE = 0.2;
const DEFAULT_RETRIED_SHARE = 0.33;
const DEFAULT_MINIMUM_PROMPT_TOKENS = 16;
const PROMPT_LENGTH_RATIO = 100;
const DEFAULT_MAXIMUM_OUTPUT_TOKENS = 200;
const MINIMUM_OUTPUT_TOKENS = 2;
const TOPIC_COUNT = 8;
const MAXIMUM_RETRY_DELAY_MS = 300;
const ORDER_KEYS: readonly OrderKeyKind[] = ['none', 'callerKey', 'callerKey', 'ticket'];

function pickRandom<Item>(random: Random, items: readonly Item[]): Item {
  return items[random.integer(0, items.length - 1)]!;
}

function pickCustomer(random: Random, customers: readonly LoadCustomer[]): LoadCustomer {
  const total = customers.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random.next() * total;
  for (const customer of customers) {
    remainingWeight -= customer.weight;
    if (remainingWeight < 0) {
      return customer;
    }
  }
  return customers[0]!;
}

/** Picks a length from a log-uniform distribution between the bounds: each octave is as likely. */
function pickLength(random: Random, minimum: number, maximum: number): number {
  return Math.round(minimum * (maximum / minimum) ** random.next());
}

/**
 * Plans every request of a run from the seed alone: arrivals are a Poisson process, and prompt
 * lengths span a factor of 100 by default.
 */
export default function planLoad(options: LoadOptions): readonly PlannedRequest[] {
  const random = createRandom(options.seed);
  const minimumPromptTokens = options.minimumPromptTokens ?? DEFAULT_MINIMUM_PROMPT_TOKENS;
  const maximumPromptTokens =
    options.maximumPromptTokens ?? minimumPromptTokens * PROMPT_LENGTH_RATIO;
  const maximumOutputTokens = options.maximumOutputTokens ?? DEFAULT_MAXIMUM_OUTPUT_TOKENS;
  const orderShare = options.orders === undefined ? 0 : (options.orderShare ?? DEFAULT_ORDER_SHARE);
  const retriedShare = options.retriedShare ?? DEFAULT_RETRIED_SHARE;
  const planned: PlannedRequest[] = [];

  function planRequest(at: number, index: number): PlannedRequest {
    const customer = pickCustomer(random, options.customers);
    const base = {
      at,
      entryHost: pickRandom(random, options.entryHosts),
      customer,
      tier: pickRandom(random, customer.tiers),
    };
    if (random.next() >= orderShare) {
      return {
        ...base,
        kind: 'chat',
        model: pickRandom(random, options.models),
        promptTokens: pickLength(random, minimumPromptTokens, maximumPromptTokens),
        outputTokens: pickLength(random, MINIMUM_OUTPUT_TOKENS, maximumOutputTokens),
        topic: random.integer(0, TOPIC_COUNT - 1),
        streamed: random.next() < 0.75,
      };
    }
    const key = pickRandom(random, ORDER_KEYS);
    const others = options.entryHosts.filter((entryHost) => entryHost !== base.entryHost);
    const retried = key !== 'none' && others.length > 0 && random.next() < retriedShare;
    return {
      ...base,
      kind: 'order',
      reference: `order-${options.seed}-${index}`,
      key,
      retryEntryHost: retried ? pickRandom(random, others) : undefined,
      retryDelay: random.integer(0, MAXIMUM_RETRY_DELAY_MS),
    };
  }

  let at = 0;
  for (let index = 0; ; index += 1) {
    at -= (Math.log(1 - random.next()) * MILLISECONDS_PER_SECOND) / options.requestsPerSecond;
    if (at >= options.duration) {
      return planned;
    }
    planned.push(planRequest(at, index));
  }
}
