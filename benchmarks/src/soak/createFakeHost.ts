import { Debug } from '@rattanreel/core';
import type { Grant } from '@rattanreel/scheduling';
import createPausableProcess from './createPausableProcess';
import createRelease from './createRelease';
import drawRequest from './drawRequest';
import type { FakeHost, FakeHostOptions, HostRequest } from './types';

const GRANT_RETRY_MILLISECONDS = 400;
const CALLER_DISCONNECT_SHARE = 0.05;
const MAXIMUM_DISCONNECT_DELAY_MILLISECONDS = 1_000;

/** Creates an entry host of the randomised runs. */
export default function createFakeHost(options: FakeHostOptions): FakeHost {
  const { world, engines, dispatched, sendToScheduler } = options;
  const { clock, random, counts } = world;
  const member = { entryHost: options.name, incarnation: options.incarnation };
  const requests = new Map<string, HostRequest>();
  const hostProcess = createPausableProcess(clock);
  let sequence = 0;

  function requestGrant(request: HostRequest): void {
    const { grantRequest } = request;
    const age = clock.now() - request.arrivedAt;
    request.requestedAt = clock.now();
    const remaining = {
      firstTokenDue: grantRequest.firstTokenDue - age,
      due: grantRequest.due - age,
    };
    sendToScheduler({ ...grantRequest, ...remaining, age, stamp: clock.now() });
  }

  function dispatch(request: HostRequest, grant: Grant): void {
    const isFirst = !dispatched.has(grant.request);
    Debug.invariant(isFirst, 'soak-dispatched-twice', () => grant.request);
    dispatched.add(grant.request);
    request.grant = grant;
    const { promptTokens, maximumOutputTokens: outputTokens } = request.grantRequest;
    const engine = engines.find((candidate) => candidate.id === grant.backendServer)!;
    engine.dispatch(
      grant,
      { promptTokens, outputTokens },
      {
        onFirstToken: (firstTokenAfter) =>
          hostProcess.run(() => {
            request.firstTokenAfter = firstTokenAfter;
            const firstToken = { request: grant.request, from: member, firstTokenAfter };
            sendToScheduler({ kind: 'firstTokenSeen', ...firstToken, cachedTokens: 0 });
          }),
        onEnd: (outcome, duration) =>
          hostProcess.run(() => {
            requests.delete(grant.request);
            counts.completed += outcome === 'completed' ? 1 : 0;
            counts.failed += outcome === 'completed' ? 0 : 1;
            const { firstTokenAfter } = request;
            sendToScheduler(
              createRelease(member, grant, { outcome, duration, outputTokens, firstTokenAfter }),
            );
          }),
      },
    );
  }

  function withdrawRequest(request: HostRequest): void {
    requests.delete(request.grantRequest.request);
    counts.withdrawn += 1;
    sendToScheduler({
      kind: 'grantWithdrawn',
      request: request.grantRequest.request,
      from: member,
    });
  }

  function removeWaitingRequest(id: string, count: 'refused' | 'spilled'): void {
    if (requests.has(id) && requests.get(id)?.grant === undefined) {
      requests.delete(id);
      counts[count] += 1;
    }
  }

  function receiveRequest(): void {
    counts.arrivals += 1;
    sequence += 1;
    const now = clock.now();
    const grantRequest = drawRequest(random, member, sequence, now);
    const undispatched = { grant: undefined, firstTokenAfter: undefined };
    const request: HostRequest = {
      grantRequest,
      arrivedAt: now,
      requestedAt: now,
      ...undispatched,
    };
    requests.set(grantRequest.request, request);
    requestGrant(request);
    if (random.next() < CALLER_DISCONNECT_SHARE) {
      clock.after(random.integer(1, MAXIMUM_DISCONNECT_DELAY_MILLISECONDS), () =>
        hostProcess.run(() => {
          if (requests.has(grantRequest.request) && request.grant === undefined) {
            withdrawRequest(request);
          }
        }),
      );
    }
  }

  function receiveGrant(grant: Grant): void {
    const request = requests.get(grant.request);
    const isFresh = clock.now() - grant.echo <= grant.lifetime;
    if (request !== undefined && request.grant === undefined && isFresh) {
      dispatch(request, grant);
    } else if (request?.grant === undefined) {
      sendToScheduler(createRelease(member, grant));
    }
  }

  function tick(): void {
    requests.forEach((request) => {
      if (request.grant !== undefined) {
        return;
      }
      if (clock.now() - request.arrivedAt > request.grantRequest.firstTokenDue) {
        withdrawRequest(request);
      } else if (clock.now() - request.requestedAt > GRANT_RETRY_MILLISECONDS) {
        requestGrant(request);
      }
    });
  }

  return {
    member,
    get waiting() {
      return [...requests.values()].filter(({ grant }) => grant === undefined).length;
    },
    getInFlight: () =>
      [...requests.values()]
        .filter(({ grant }) => grant !== undefined)
        .map(({ grantRequest, grant, firstTokenAfter }) => ({
          ...grantRequest,
          backendServer: grant!.backendServer,
          prefillDone: firstTokenAfter !== undefined,
        })),
    receiveRequest: () => hostProcess.run(receiveRequest),
    receiveGrant: (grant) => hostProcess.run(() => receiveGrant(grant)),
    receiveRefusal: (id) => hostProcess.run(() => removeWaitingRequest(id, 'refused')),
    receiveSpillOver: (id) => hostProcess.run(() => removeWaitingRequest(id, 'spilled')),
    tick: () => hostProcess.run(tick),
    pause: hostProcess.pause,
    kill() {
      counts.lostWithHost += requests.size;
      hostProcess.kill();
    },
  };
}
