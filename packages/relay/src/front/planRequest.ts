import type { Milliseconds, Random } from '@rattanreel/core';
import type { HeaderNames, RelayCustomer } from '../types';
import type { PlanResult, RequestPlan } from './types';
import type { RequestClassifier, RouteTable } from '../decisions/types';

/** When a host without configuration may be asked again. */
const NO_CONFIGURATION_RETRY_AFTER: Milliseconds = 500;
const DEFAULT_OUTPUT_TOKENS = 50;
/** A returning request is late already: it follows the fresh ones of its tier and of the next. */
const RETURNING_RANK_STEP = 1.5;
/** A long answer follows the shorter ones of its tier: it takes the place of several of them. */
const LONG_RANK_STEP = 0.4;
/** More than the ranks of any route: a customer's tier goes before the route's. */
const CUSTOMER_RANK_STEP = 100;
/** Part of its time for which a returning request may wait, and objectives that its caller waits at least. */
const RETURNING_WAIT_FRACTION = 0.3;
const RETURNING_WAIT_OBJECTIVES = 4;

interface PlanRequestOptions {
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly target: string;
  readonly arrivedAt: Milliseconds;
  readonly names: HeaderNames;
  /** Undefined until a configuration is known. */
  readonly routes: RouteTable | undefined;
  /** Customers by key; undefined when requests carry no keys. */
  readonly customersByKey: ReadonlyMap<string, RelayCustomer> | undefined;
  /** What callers of each route usually ask for. */
  readonly classifier: RequestClassifier;
  readonly random: Random;
}

function getHeader(options: PlanRequestOptions, name: string): string | undefined {
  const value = options.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function getHostName(options: PlanRequestOptions): string {
  return (getHeader(options, 'host') ?? '').toLowerCase().replace(/:\d+$/, '');
}

/** `PROMPT,OUTPUT` as numbers; undefined when it is absent or cannot be read. */
function tryParseTokens(text: string | undefined): readonly [number, number] | undefined {
  const match = /^\s*(\d{1,9})\s*,\s*(\d{1,9})\s*$/.exec(text ?? '');
  return match === null ? undefined : [Number(match[1]), Number(match[2])];
}

function tryParsePositive(text: string | undefined): number | undefined {
  const value = Number(text);
  return text !== undefined && Number.isFinite(value) && value > 0 ? value : undefined;
}

function createPlan(
  options: PlanRequestOptions,
  route: RequestPlan['route'],
  customer: RelayCustomer | undefined,
): RequestPlan {
  const { names, arrivedAt } = options;
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
    timeLimit * RETURNING_WAIT_FRACTION,
    route.objective * RETURNING_WAIT_OBJECTIVES,
  );
  const customerRank = (customer?.tier ?? route.tier) * CUSTOMER_RANK_STEP;
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
      deadlineAt: arrivedAt + timeLimit,
    },
    cost: quota?.countsTokens === true ? tokenCost : 1,
    promptTokens: tokens?.[0] ?? 0,
    outputTokens,
    arrivedAt,
    deadlineAt: arrivedAt + timeLimit,
  };
}

/** Decides by its head alone whether a request may be served, and what it asks for. */
export default function planRequest(options: PlanRequestOptions): PlanResult {
  const { routes, customersByKey, names } = options;
  if (routes === undefined) {
    const retryAfter = NO_CONFIGURATION_RETRY_AFTER;
    return { kind: 'rejected', rejection: { status: 503, code: 'noConfiguration', retryAfter } };
  }
  const path = options.target.split('?', 1)[0]!;
  const route = routes.tryMatch(getHostName(options), path);
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
