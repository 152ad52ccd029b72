import { Debug } from '@rattanreel/core';
import type { FailureDomainId, PoolId, RequestId } from '@rattanreel/core';
import type { EntryHostIncarnation, Grant } from '@rattanreel/scheduling';
import type { HeldGrants, InFlightAtPool, ReleaseReport, SendToScheduler } from './types';

const UNUSED_GRANT: ReleaseReport = {
  outcome: 'notDispatched',
  cachedTokens: 0,
  outputTokens: 0,
  firstTokenAfter: undefined,
  duration: 0,
};

/** Keeps the grants in use at this host until their slots are given back. */
export default function createHeldGrants(
  getSelf: () => EntryHostIncarnation,
  send: SendToScheduler,
): HeldGrants {
  const inFlight = new Map<RequestId, InFlightAtPool>();

  function sendRelease(
    pool: PoolId,
    failureDomain: FailureDomainId,
    grant: Grant,
    report: ReleaseReport,
  ): void {
    send(pool, failureDomain, {
      kind: 'grantReleased',
      request: grant.request,
      // The slot belongs to the incarnation that it was granted to, also after a change.
      from: grant.to,
      backendServer: grant.backendServer,
      echo: grant.echo,
      ...report,
    });
  }

  return {
    hold(ask, failureDomain, grant) {
      const { request, pool, tier, customer, promptTokens, maximumOutputTokens } = ask;
      const { backendServer } = grant;
      const held: InFlightAtPool = {
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
      inFlight.set(request, held);
      return {
        grant,
        failureDomain,
        firstToken(firstTokenAfter, cachedTokens) {
          if (released) {
            return;
          }
          inFlight.set(request, { ...held, inFlight: { ...held.inFlight, prefillDone: true } });
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
    sendBackUnused: (pool, failureDomain, grant) =>
      sendRelease(pool, failureDomain, grant, UNUSED_GRANT),
    isHeld: (grant) => inFlight.get(grant.request)?.inFlight.backendServer === grant.backendServer,
    report: (pool, failureDomain) => ({
      kind: 'inFlightReported',
      from: getSelf(),
      inFlight: [...inFlight.values()]
        .filter((held) => held.pool === pool && held.failureDomain === failureDomain)
        .map((held) => held.inFlight),
    }),
    forEachPlace(visit) {
      const places = new Map(
        [...inFlight.values()].map((held) => [`${held.failureDomain} ${held.pool}`, held]),
      );
      places.forEach(({ pool, failureDomain }) => visit(pool, failureDomain));
    },
  };
}
