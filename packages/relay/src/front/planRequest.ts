import type { Milliseconds, Random } from '@rattanreel/core';
import type { HeaderNames, RelayCustomer } from '../types';
import RETURNING_RANK_STEP from '../decisions/returningRankStep';
import getContentId from './getContentId';
import getHostName from './getHostName';
import parsePromptParts from './parsePromptParts';
import tryParsePositive from './tryParsePositive';
import type { CallerExchange, PlanResult, RequestPlan } from './types';
import type { RequestClassifier, RouteTable } from '../decisions/types';

/** Time after which a caller may retry at a host that has no configuration yet. */
const NO_CONFIGURATION_RETRY_AFTER: Milliseconds = 500;
const DEFAULT_OUTPUT_TOKENS = 50;
/** A long response ranks after the shorter ones of its tier: it uses the slot time of several. */
const LONG_RANK_STEP = 0.4;
/** Larger than the rank of any route: a customer's tier takes precedence over the route's. */
const CUSTOMER_RANK_STEP = 100;
/**
 * A returning request may wait for this fraction of its time limit, and at most for this multiple
 * of the route's objective, since callers wait at least that long.
 */
const RETURNING_WAIT_FRACTION = 0.3;
/**
 * The same for a customer's request. It is served after all fresh ones, so it delays none of them;
 * a third of its time is left, which is as long as callers wait before they return.
 */
const CUSTOMER_WAIT_FRACTION = 2 / 3;
const RETURNING_WAIT_OBJECTIVES = 4;

interface PlanRequestOptions {
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly exchange: Pick<CallerExchange, 'method' | 'target' | 'body' | 'arrivedAt' | 'handledAt'>;
  readonly names: HeaderNames;
  /** Undefined until a configuration is known. */
  readonly routes: RouteTable | undefined;
  /** Customers by key; undefined when requests carry no keys. */
  readonly customersByKey: ReadonlyMap<string, RelayCustomer> | undefined;
  /** Classifies requests by the recent requests of their route. */
  readonly classifier: RequestClassifier;
  readonly random: Random;
}

function getHeader(options: PlanRequestOptions, name: string): string | undefined {
  const value = options.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Parses `PROMPT,OUTPUT`; undefined when the header is absent or malformed. */
function tryParseTokens(text: string | undefined): readonly [number, number] | undefined {
  const match = /^\s*(\d{1,9})\s*,\s*(\d{1,9})\s*$/.exec(text ?? '');
  return match === null ? undefined : [Number(match[1]), Number(match[2])];
}

function createPlan(
  options: PlanRequestOptions,
  route: RequestPlan['route'],
  customer: RelayCustomer | undefined,
): RequestPlan {
  const { names, exchange } = options;
  const { arrivedAt } = exchange;
  const tokens = tryParseTokens(getHeader(options, names.tokenCount));
  const lengthHint = tryParsePositive(getHeader(options, names.lengthHint));
  const deadline = tryParsePositive(getHeader(options, names.deadline)) ?? route.timeout;
  const quota = customer?.quota;
  const tokenCost = tokens === undefined ? (quota?.plainCost ?? 1) : tokens[0] + tokens[1];
  const timeLimit = Math.min(deadline, route.timeout);
  const outputTokens = lengthHint ?? tokens?.[1] ?? DEFAULT_OUTPUT_TOKENS;
  const { isReturning, isLong } = options.classifier.classify({
    route: route.name,
    deadline,
    outputTokens,
    now: arrivedAt,
  });
  const returningWait = Math.min(
    timeLimit * (customer === undefined ? RETURNING_WAIT_FRACTION : CUSTOMER_WAIT_FRACTION),
    route.objective * RETURNING_WAIT_OBJECTIVES,
  );
  const customerRank = (customer?.tier ?? route.tier) * CUSTOMER_RANK_STEP;
  const promptParts = parsePromptParts(getHeader(options, names.promptParts));
  const contentId = getContentId(exchange, customer);
  const floorRank = customerRank + route.tier + (isReturning ? RETURNING_RANK_STEP : 0);
  return {
    requestId: getHeader(options, names.requestId) ?? options.random.identifier(),
    route,
    customer,
    priority: {
      rank: floorRank + (isLong ? LONG_RANK_STEP : 0),
      floorRank,
      isReturning,
      tier: route.tier,
      serveBy: arrivedAt + (isReturning ? returningWait : route.objective),
      serveLateBy:
        isReturning || returningWait <= route.objective ? undefined : arrivedAt + returningWait,
      deadlineAt: arrivedAt + timeLimit,
      isRepeatable: route.kind === 'idempotent' || route.isResumable,
    },
    cost: quota?.countsTokens === true ? tokenCost : 1,
    promptTokens: tokens?.[0] ?? 0,
    promptParts,
    contentId,
    traits: [...promptParts, contentId],
    outputTokens,
    arrivedAt,
    deadlineAt: arrivedAt + timeLimit,
    latestDeadlineAt: (exchange.handledAt ?? arrivedAt) + timeLimit,
  };
}

/** Decides, before any backend server is asked, whether a request may be served, and what it asks for. */
export default function planRequest(options: PlanRequestOptions): PlanResult {
  const { routes, customersByKey, names } = options;
  if (routes === undefined) {
    const retryAfter = NO_CONFIGURATION_RETRY_AFTER;
    return { kind: 'rejected', rejection: { status: 503, code: 'noConfiguration', retryAfter } };
  }
  const path = options.exchange.target.split('?', 1)[0]!;
  const route = routes.tryMatch(getHostName(getHeader(options, 'host')), path);
  if (route === undefined) {
    return { kind: 'rejected', rejection: { status: 404, code: 'unknownRoute' } };
  }
  if (customersByKey === undefined || route.isAnonymous) {
    return { kind: 'ok', plan: createPlan(options, route, undefined) };
  }
  const customer = customersByKey.get(getHeader(options, names.key) ?? '');
  return customer === undefined
    ? { kind: 'rejected', rejection: { status: 401, code: 'unknownKey' } }
    : { kind: 'ok', plan: createPlan(options, route, customer) };
}
