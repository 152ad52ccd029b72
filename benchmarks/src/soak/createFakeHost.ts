import { Debug } from '@rattanreel/core';
import type { Grant } from '@rattanreel/scheduling';
import createPausable from './createPausable';
import createRelease from './createRelease';
import drawRequest from './drawRequest';
import type { FakeHost, FakeHostOptions, HostRequest } from './types';

const REPEAT_AFTER_MILLISECONDS = 400;
const CALLER_LEAVES_SHARE = 0.05;
const LONGEST_STAY_MILLISECONDS = 1_000;

/** Creates an entry host of the randomised runs. */
export default function createFakeHost(options: FakeHostOptions): FakeHost {
  const { world, engines, dispatched, tell } = options;
  const { clock, random, counts } = world;
  const member = { entryHost: options.name, incarnation: options.incarnation };
  const requests = new Map<string, HostRequest>();
  const process = createPausable(clock);
  let sequence = 0;

  function ask(request: HostRequest): void {
    const { asked } = request;
    const age = clock.now() - request.arrivedAt;
    request.askedAt = clock.now();
    const left = { firstTokenDue: asked.firstTokenDue - age, due: asked.due - age };
    tell({ ...asked, ...left, age, stamp: clock.now() });
  }

  function dispatch(request: HostRequest, grant: Grant): void {
    const isFirst = !dispatched.has(grant.request);
    Debug.invariant(isFirst, 'soak-dispatched-twice', () => grant.request);
    dispatched.add(grant.request);
    request.grant = grant;
    const { promptTokens, maximumOutputTokens: outputTokens } = request.asked;
    const engine = engines.find((candidate) => candidate.id === grant.backendServer)!;
    engine.dispatch(
      grant,
      { promptTokens, outputTokens },
      {
        firstToken: (firstTokenAfter) =>
          process.run(() => {
            request.firstTokenAfter = firstTokenAfter;
            const seen = { request: grant.request, from: member, firstTokenAfter };
            tell({ kind: 'firstTokenSeen', ...seen, cachedTokens: 0 });
          }),
        ended: (outcome, duration) =>
          process.run(() => {
            requests.delete(grant.request);
            counts.completed += outcome === 'completed' ? 1 : 0;
            counts.failed += outcome === 'completed' ? 0 : 1;
            const { firstTokenAfter } = request;
            tell(
              createRelease(member, grant, { outcome, duration, outputTokens, firstTokenAfter }),
            );
          }),
      },
    );
  }

  function withdraw(request: HostRequest): void {
    requests.delete(request.asked.request);
    counts.withdrawn += 1;
    tell({ kind: 'grantWithdrawn', request: request.asked.request, from: member });
  }

  function forgetWaiting(id: string, count: 'refused' | 'spilled'): void {
    if (requests.has(id) && requests.get(id)?.grant === undefined) {
      requests.delete(id);
      counts[count] += 1;
    }
  }

  function arrive(): void {
    counts.arrivals += 1;
    sequence += 1;
    const now = clock.now();
    const asked = drawRequest(random, member, sequence, now);
    const nothing = { grant: undefined, firstTokenAfter: undefined };
    const request: HostRequest = { asked, arrivedAt: now, askedAt: now, ...nothing };
    requests.set(asked.request, request);
    ask(request);
    if (random.next() < CALLER_LEAVES_SHARE) {
      clock.after(random.integer(1, LONGEST_STAY_MILLISECONDS), () =>
        process.run(() => {
          if (requests.has(asked.request) && request.grant === undefined) {
            withdraw(request);
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
      tell(createRelease(member, grant));
    }
  }

  function tick(): void {
    requests.forEach((request) => {
      if (request.grant !== undefined) {
        return;
      }
      if (clock.now() - request.arrivedAt > request.asked.firstTokenDue) {
        withdraw(request);
      } else if (clock.now() - request.askedAt > REPEAT_AFTER_MILLISECONDS) {
        ask(request);
      }
    });
  }

  return {
    member,
    get waiting() {
      return [...requests.values()].filter(({ grant }) => grant === undefined).length;
    },
    inFlight: () =>
      [...requests.values()]
        .filter(({ grant }) => grant !== undefined)
        .map(({ asked, grant, firstTokenAfter }) => ({
          ...asked,
          backendServer: grant!.backendServer,
          prefillDone: firstTokenAfter !== undefined,
        })),
    arrive: () => process.run(arrive),
    receiveGrant: (grant) => process.run(() => receiveGrant(grant)),
    refused: (id) => process.run(() => forgetWaiting(id, 'refused')),
    spilled: (id) => process.run(() => forgetWaiting(id, 'spilled')),
    tick: () => process.run(tick),
    pause: process.pause,
    die() {
      counts.lostWithHost += requests.size;
      process.die();
    },
  };
}
