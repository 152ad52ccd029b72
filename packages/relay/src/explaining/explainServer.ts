import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { ServerAssessment } from '../decisions/types';
import type { SpeedObservation } from '../speed/types';
import type { ServerExplanation } from './types';

interface ExplainServerOptions {
  readonly now: Milliseconds;
  readonly tryGetLatest: (server: string) => SpeedObservation | undefined;
}

function round(value: number): number {
  return Number(value.toFixed(3));
}

/** Returns what is told of a server that was considered for a request. */
export default function explainServer(
  { server, slowdown, isInTime, cost, passedOver }: ServerAssessment,
  { now, tryGetLatest }: ExplainServerOptions,
): ServerExplanation {
  const { listed, ownInFlight, peerInFlight, reportedAt, slowness, failureRate } = server;
  const failureDomain: FailureDomainId = listed.failureDomain;
  const speed = tryGetLatest(listed.id);
  return {
    server: listed.id,
    failureDomain,
    version: listed.version,
    slots: listed.slots,
    own: ownInFlight,
    others: peerInFlight,
    ...(Number.isFinite(reportedAt) && { loadAge: Math.round(now - reportedAt) }),
    slowness: round(slowness),
    slowdown: round(slowdown),
    ...(speed !== undefined && { slowdownAge: Math.round(now - speed.observedAt) }),
    failureRate: round(failureRate),
    isInTime,
    cost: round(cost),
    ...(passedOver !== undefined && { passedOver }),
  };
}
