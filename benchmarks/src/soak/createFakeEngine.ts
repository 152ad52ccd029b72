import type { Milliseconds, Timer } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import type { FakeEngine, FakeEngineState, SoakWorld, StreamListener, StreamWork } from './types';

const MEMORY_TOKENS = 20_000;
const TOKEN_MILLISECONDS = 8;
const PREFILL_MILLISECONDS = 15;
const PREFILL_TOKEN_MILLISECONDS = 0.08;
const COLD_SLOWNESS = 4;
const WARM_AFTER_MILLISECONDS = 6_000;
const COLD_STREAMS_BORNE = 3;
const FALL_OVER_FACTOR = 5;
const FALL_OVER_MILLISECONDS = 3_000;
const SILENCE_NOTICED_AFTER: Milliseconds = 2_000;
const DRAIN_BOUND_MILLISECONDS = 3_000;

interface Stream {
  readonly listener: StreamListener;
  readonly startedAt: Milliseconds;
  timers: Timer[];
}

/** Creates an engine of the randomised runs; `index` sets its speed. */
export default function createFakeEngine(world: SoakWorld, index: number): FakeEngine {
  const { clock, random } = world;
  const streams = new Map<string, Stream>();
  const id = `engine${index}`;
  const state: FakeEngineState = {
    drained: false,
    drainedAt: undefined,
    leaving: false,
    failing: false,
    silent: false,
    slowness: 1,
  };
  const speed = 1 + (index % 3) / 2;
  let incarnation = 0;
  let coldSince: Milliseconds | undefined = clock.now();
  let upAt = 0;
  let prefillBusyUntil = 0;

  function end(request: string, outcome: Parameters<StreamListener['ended']>[0]): void {
    const stream = streams.get(request);
    if (stream !== undefined) {
      streams.delete(request);
      stream.timers.forEach((timer) => timer.cancel());
      stream.listener.ended(outcome, clock.now() - stream.startedAt);
    }
  }

  function restart(downFor: Milliseconds): void {
    incarnation += 1;
    upAt = clock.now() + downFor;
    coldSince = upAt;
    [...streams.keys()].forEach((request) => end(request, 'backendServerFailed'));
  }

  function slownessNow(): number {
    const isCold = coldSince !== undefined && clock.now() - coldSince < WARM_AFTER_MILLISECONDS;
    const overburden = isCold ? Math.max(1, streams.size / COLD_STREAMS_BORNE) : 1;
    return (isCold ? COLD_SLOWNESS : 1) * overburden * state.slowness * speed;
  }

  function start(request: string, work: StreamWork, stream: Stream): void {
    const prefill = PREFILL_MILLISECONDS + work.promptTokens * PREFILL_TOKEN_MILLISECONDS;
    const ownAfter = prefill * slownessNow() * (0.8 + 0.4 * random.next());
    const firstAfter = Math.max(0, prefillBusyUntil - clock.now()) + ownAfter;
    prefillBusyUntil = clock.now() + firstAfter;
    const rest = work.outputTokens * TOKEN_MILLISECONDS * slownessNow();
    if (state.silent) {
      stream.timers = [clock.after(SILENCE_NOTICED_AFTER, () => end(request, 'silent'))];
      return;
    }
    stream.timers = [
      clock.after(firstAfter, () => stream.listener.firstToken(firstAfter)),
      clock.after(firstAfter + rest, () => end(request, 'completed')),
    ];
  }

  return {
    id,
    version: 'v1',
    state,
    get streams() {
      return streams.size;
    },
    dispatch(grant, work, listener) {
      const { drainedAt } = state;
      Debug.invariant(
        drainedAt === undefined || clock.now() - drainedAt <= DRAIN_BOUND_MILLISECONDS,
        'soak-dispatch-to-drained',
        () => `${id} got ${grant.request} after it was taken out`,
      );
      const stream: Stream = { listener, startedAt: clock.now(), timers: [] };
      streams.set(grant.request, stream);
      if (state.failing || clock.now() < upAt) {
        end(grant.request, 'backendServerFailed');
        return;
      }
      start(grant.request, work, stream);
      const isCold = coldSince !== undefined && clock.now() - coldSince < WARM_AFTER_MILLISECONDS;
      if (isCold && streams.size > COLD_STREAMS_BORNE * FALL_OVER_FACTOR) {
        restart(FALL_OVER_MILLISECONDS);
      }
    },
    cancel(request) {
      streams.get(request)?.timers.forEach((timer) => timer.cancel());
      streams.delete(request);
    },
    turnCold() {
      coldSince = clock.now();
    },
    restart,
    report: () => ({
      kind: 'loadReported',
      backendServer: id,
      backendServerIncarnation: `${id}-${incarnation}`,
      reportAge: 100,
      runningRequests: streams.size,
      waitingRequests: 0,
      memoryTokensUsed: 0,
      memoryTokensTotal: MEMORY_TOKENS,
      version: 'v1',
      ready: clock.now() >= upAt,
      leaving: state.leaving,
    }),
  };
}
