import { Debug } from '@rattanreel/core';
import type { FailureDomainId, PoolId, RequestId } from '@rattanreel/core';
import type { EntryHostIncarnation, Grant } from '@rattanreel/scheduling';
import type { HeldGrants, GrantedRequest, ReleaseReport, SendToScheduler } from './types';

const UNUSED_GRANT_REPORT: ReleaseReport = {
  outcome: 'notDispatched',
  cachedTokens: 0,
  outputTokens: 0,
  firstTokenAfter: undefined,
  duration: 0,
};

/** Keeps the grants in use at this host until their slots are released. */
export default function createHeldGrants(
  getSelf: () => EntryHostIncarnation,
  send: SendToScheduler,
): HeldGrants {
  const inFlight = new Map<RequestId, GrantedRequest>();

  function sendRelease(
    pool: PoolId,
    failureDomain: FailureDomainId,
    grant: Grant,
    report: ReleaseReport,
  ): void {
    send(pool, failureDomain, {
      kind: 'grantReleased',
      request: grant.request,
      // The slot belongs to the incarnation it was granted to, even if this host has another now.
      from: grant.to,
      backendServer: grant.backendServer,
      echo: grant.echo,
      ...report,
    });
  }

  return {
    hold(grantRequest, failureDomain, grant) {
      const { request, pool, tier, customer, promptTokens, maximumOutputTokens } = grantRequest;
      const { backendServer } = grant;
      const grantedRequest: GrantedRequest = {
        pool,
        failureDomain,
        inFlight: {
          request,
          backendServer,
          tier,
          customer,
          promptTokens,
          maximumOutputTokens,
          prefillDone: false,
        },
      };
      let released = false;
      inFlight.set(request, grantedRequest);
      return {
        grant,
        failureDomain,
        reportFirstToken(firstTokenAfter, cachedTokens) {
          if (released) {
            return;
          }
          inFlight.set(request, {
            ...grantedRequest,
            inFlight: { ...grantedRequest.inFlight, prefillDone: true },
          });
          send(pool, failureDomain, {
            kind: 'firstTokenSeen',
            request,
            from: grant.to,
            firstTokenAfter,
            cachedTokens,
          });
        },
        release(report) {
          if (Debug.invariant(!released, 'grant-released-twice', () => request)) {
            released = true;
            inFlight.delete(request);
            sendRelease(pool, failureDomain, grant, report);
          }
        },
      };
    },
    releaseUnused: (pool, failureDomain, grant) =>
      sendRelease(pool, failureDomain, grant, UNUSED_GRANT_REPORT),
    isHeld: (grant) => inFlight.get(grant.request)?.inFlight.backendServer === grant.backendServer,
    buildInFlightReport: (pool, failureDomain) => ({
      kind: 'inFlightReported',
      from: getSelf(),
      inFlight: [...inFlight.values()]
        .filter(
          (grantedRequest) =>
            grantedRequest.pool === pool && grantedRequest.failureDomain === failureDomain,
        )
        .map((grantedRequest) => grantedRequest.inFlight),
    }),
    forEachPoolInUse(visit) {
      const poolsInUse = new Map(
        [...inFlight.values()].map((grantedRequest) => [
          `${grantedRequest.failureDomain} ${grantedRequest.pool}`,
          grantedRequest,
        ]),
      );
      poolsInUse.forEach(({ pool, failureDomain }) => visit(pool, failureDomain));
    },
  };
}
