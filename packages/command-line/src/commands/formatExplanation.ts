import type { RequestExplanation, ServerExplanation, TargetExplanation } from '@rattanreel/relay';

type Planned = Extract<RequestExplanation, { readonly kind: 'planned' }>;

const PERCENT = 100;

function formatAge(age: number | undefined): string {
  return age === undefined ? 'never' : `${age} ms ago`;
}

function formatServer(server: ServerExplanation): string {
  const { passedOver, slots, own, others, failureDomain, version } = server;
  const verdict = passedOver === undefined ? 'preferred' : `passed over: ${passedOver}`;
  return (
    `    ${server.server} (${failureDomain}, ${version}): ${verdict}, cost ${server.cost}; ` +
    `${own} own and ${others} other requests in ${slots} slots, reported ${formatAge(server.loadAge)}; ` +
    `slowness ${server.slowness}, slowdown ${server.slowdown} (reported ${formatAge(server.slowdownAge)}); ` +
    `failure rate ${server.failureRate}${server.isInTime ? '' : '; too slow for the deadline'}`
  );
}

function formatOutcome({ outcome }: TargetExplanation): string {
  switch (outcome.kind) {
    case 'granted':
      return `sent to ${outcome.server}`;
    case 'waiting':
      return `waits (${outcome.cause}), expected wait ${Math.round(outcome.expectedWait)} ms`;
    case 'refused':
      return `refused: ${outcome.reason}, retry after ${outcome.retryAfter} ms`;
    case 'scheduledElsewhere':
      return `decided by the scheduler ${outcome.scheduler}; ask that host`;
    default:
      return outcome satisfies never;
  }
}

function formatTarget(target: TargetExplanation): readonly string[] {
  const { quota, state, eligibility } = target;
  const share = Number((target.share * PERCENT).toFixed(1));
  return [
    `pool ${target.pool} (${share} % of the route's requests): ${formatOutcome(target)}`,
    ...(quota === undefined
      ? []
      : [
          `  quota: level ${quota.level} of burst ${quota.burst}, ${quota.rate} a second, cost ${quota.cost}, ` +
            `share ${quota.share}, others spent ${quota.othersSpent}`,
        ]),
    ...(state === undefined
      ? []
      : [
          `  queue: ${state.waiting} wait, ${state.taken} of ${state.places} slots taken ` +
            `(${state.takenByTier} by its tier, which is ${eligibility}), expected wait ${state.expectedWait} ms`,
        ]),
    ...(state?.customer === undefined
      ? []
      : [`  fair share: uses ${state.customer.use} of its tier, is due ${state.customer.share}`]),
    ...(target.isLate ? ['  its objective cannot be met: it goes behind requests in time'] : []),
    ...target.servers.map(formatServer),
  ];
}

function formatScheduler({ scheduler }: Planned): readonly string[] {
  if (scheduler === undefined) {
    return [];
  }
  const { host, state, status, statusAge } = scheduler;
  const heard =
    status === undefined
      ? 'nothing heard yet'
      : `heard ${formatAge(statusAge)}: serving ${status.isServing}, stopping ${status.isStopping}, ` +
        `store reachable ${status.isStoreReachable}, event loop delay ${status.loopDelay ?? 'unknown'} ms`;
  return [`scheduler ${host.entryHost} at ${host.address} (${state}): ${heard}`];
}

function formatRequest({ request }: Planned): string {
  const { route, kind, tier, rank, customer, cost, timeLeft, objective, promptParts } = request;
  return (
    `route ${route} (${kind}), customer ${customer ?? 'none'}, tier ${tier}, rank ${rank}, cost ${cost}, ` +
    `objective ${objective} ms, ${timeLeft} ms left${
      request.isReturning ? ', returns after a refusal' : ''
    }${promptParts.length === 0 ? '' : `, shared prompt parts ${promptParts.join(' ')}`}`
  );
}

/** Formats the explanation of a request for people. */
export default function formatExplanation(body: unknown): string {
  const explanation = body as RequestExplanation;
  const { host, failureDomain, basis } = explanation;
  const head =
    `${host} (${failureDomain}): configuration ${basis.configurationVersion}, ` +
    `servers ${basis.serversVersion}, ${basis.hosts} other hosts heard, oldest message ${basis.oldest} ms old`;
  if (explanation.kind === 'rejected') {
    return `${head}\nrejected: ${explanation.status} ${explanation.code}`;
  }
  return [
    head,
    formatRequest(explanation),
    ...formatScheduler(explanation),
    ...explanation.targets.flatMap(formatTarget),
  ].join('\n');
}
