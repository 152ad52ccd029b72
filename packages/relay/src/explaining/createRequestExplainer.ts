import type { Clock, EntryHostId, FailureDomainId, Milliseconds, PoolId } from '@rattanreel/core';
import type { SlotPreviewer, SlotQuery } from '../admission/types';
import type { CrashGuard } from '../crashes/types';
import getRetryDelay from '../decisions/getRetryDelay';
import type { RequestClassifier, RouteTable } from '../decisions/types';
import limitRetryDelay from '../front/limitRetryDelay';
import planRequest from '../front/planRequest';
import type { DecisionBasis, Refusal, RequestPlan } from '../front/types';
import type { TimeCheck } from '../lateness/types';
import type { Pools } from '../pools/types';
import type { HeaderNames, RelayCustomer } from '../types';
import expectedRandom from './expectedRandom';
import explainServer from './explainServer';
import type {
  RequestExplanation,
  RequestQuery,
  RequestSummary,
  TargetExplanation,
  TargetOutcome,
} from './types';

interface RequestExplainerOptions {
  readonly admission: SlotPreviewer;
  readonly clock: Clock;
  readonly host: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly names: HeaderNames;
  readonly classifier: Pick<RequestClassifier, 'preview'>;
  readonly crashGuard: Pick<CrashGuard, 'tryGetBlock'>;
  /** Draws from `expectedRandom`. */
  readonly timeCheck: Pick<TimeCheck, 'tryRefuseAdmission'>;
  readonly pools: Pick<Pools, 'hasPool'> & {
    readonly speeds: Pick<Pools['speeds'], 'tryGetLatest'>;
  };
  readonly getBasis: () => DecisionBasis;
  readonly getRoutes: () => RouteTable | undefined;
  readonly getCustomersByKey: () => ReadonlyMap<string, RelayCustomer> | undefined;
}

/** Pool in which no server is known, so that there is nothing to ask. */
const NO_POOL = { isLate: false, servers: [] };

function summarize(plan: RequestPlan, now: Milliseconds): RequestSummary {
  const { route, customer, priority, cost, outputTokens, promptTokens, promptParts } = plan;
  return {
    route: route.name,
    kind: route.kind,
    tier: route.tier,
    customer: customer?.name,
    rank: priority.rank,
    isReturning: priority.isReturning,
    cost,
    promptTokens,
    outputTokens,
    promptParts,
    objective: route.objective,
    timeLeft: Math.round(plan.deadlineAt - now),
  };
}

/**
 * Explains what this host would do with a request now, by the code that decides about requests and
 * on the state that it decides on. Load pattern: an operator's single queries; each one costs as
 * much as a decision with one copy of the queue and of the servers' states of the route's pools.
 */
export default function createRequestExplainer(
  options: RequestExplainerOptions,
): (query: RequestQuery) => RequestExplanation {
  const { clock, names, crashGuard, timeCheck, pools } = options;

  function createHeaders(query: RequestQuery): Record<string, string | undefined> {
    const { hostName, deadline, promptTokens = 0, outputTokens } = query;
    const customers = [...(options.getCustomersByKey() ?? [])];
    const [named] = customers.find(([, { name }]) => name === query.customer) ?? [];
    return {
      host: hostName,
      [names.key]: query.key ?? named,
      [names.deadline]: deadline?.toString(),
      [names.tokenCount]:
        outputTokens === undefined ? undefined : `${promptTokens},${outputTokens}`,
      [names.promptParts]: query.promptParts?.join(','),
    };
  }

  function createRefusal({ reason, retryAfter }: Refusal, plan: RequestPlan): TargetOutcome {
    const timeLeft = plan.deadlineAt - clock.now();
    const delay = retryAfter ?? getRetryDelay(timeLeft, expectedRandom);
    return { kind: 'refused', reason, retryAfter: Math.round(limitRetryDelay(delay, timeLeft)) };
  }

  /** Returns why a request is refused before it asks for a slot. */
  function tryRefuse(plan: RequestPlan, pool: PoolId): Refusal | undefined {
    const block = crashGuard.tryGetBlock(plan.traits);
    return block === undefined
      ? timeCheck.tryRefuseAdmission({ ...plan, pool })
      : { reason: 'quarantined', retryAfter: block.remaining };
  }

  function explainTarget(
    plan: RequestPlan,
    pool: PoolId,
  ): Omit<TargetExplanation, 'share' | 'pool'> {
    const refusal = pools.hasPool(pool) ? tryRefuse(plan, pool) : { reason: 'noServer' as const };
    if (refusal !== undefined) {
      return { ...NO_POOL, outcome: createRefusal(refusal, plan) };
    }
    const scheduler = options.admission.tryGetSchedulerView();
    if (scheduler?.state === 'remote') {
      return {
        ...NO_POOL,
        outcome: { kind: 'scheduledElsewhere', scheduler: scheduler.host.entryHost },
      };
    }
    const query: SlotQuery = {
      ...plan,
      pool,
      customer: plan.customer?.name,
      excludedServers: new Set(),
    };
    const preview = options.admission.preview(query, expectedRandom);
    const { outcome } = preview;
    const now = clock.now();
    return {
      outcome: outcome.kind === 'refused' ? createRefusal(outcome, plan) : outcome,
      quota: preview.quota?.figures,
      state: preview.pool?.state,
      eligibility: preview.pool?.eligibility,
      isLate: preview.isLate,
      servers: (preview.pool?.servers ?? []).map((assessment) =>
        explainServer(assessment, { now, tryGetLatest: pools.speeds.tryGetLatest }),
      ),
    };
  }

  return (query) => {
    const now = clock.now();
    const head = {
      host: options.host,
      failureDomain: options.failureDomain,
      basis: options.getBasis(),
    };
    const result = planRequest({
      headers: createHeaders(query),
      exchange: {
        method: query.method ?? 'POST',
        target: query.target,
        body: Buffer.from(query.body ?? ''),
        arrivedAt: now,
      },
      names,
      routes: options.getRoutes(),
      customersByKey: options.getCustomersByKey(),
      classifier: { classify: options.classifier.preview },
      random: expectedRandom,
    });
    if (result.kind === 'rejected') {
      return { ...head, ...result.rejection, kind: 'rejected' };
    }
    const { plan } = result;
    const { targets } = plan.route;
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    return {
      ...head,
      kind: 'planned',
      request: summarize(plan, now),
      scheduler: options.admission.tryGetSchedulerView(),
      targets: targets.map(({ pool, weight }) => ({
        pool,
        share: weight / total,
        ...explainTarget(plan, pool),
      })),
    };
  };
}
