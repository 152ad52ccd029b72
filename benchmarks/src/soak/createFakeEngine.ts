import type { Milliseconds, Timer } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import type { FakeEngine, FakeEngineState, SoakWorld, StreamListener, StreamWork } from './types';

const MEMORY_TOKENS = 20_000;
const TOKEN_MILLISECONDS = 8;
const PREFILL_MILLISECONDS = 15;
const PREFILL_TOKEN_MILLISECONDS = 0.08;
const COLD_SLOW_DOWN_FACTOR = 4;
const WARM_AFTER_MILLISECONDS = 6_000;
const COLD_STREAM_CAPACITY = 3;
const CRASH_FACTOR = 5;
const CRASH_DOWNTIME_MILLISECONDS = 3_000;
const STALL_DETECTION_TIMEOUT: Milliseconds = 2_000;
const DRAIN_BOUND_MILLISECONDS = 3_000;

interface Stream {
  readonly listener: StreamListener;
  readonly startedAt: Milliseconds;
  timers: Timer[];
}

/** Creates an engine of the randomised runs; `index` determines its speed. */
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
    slowDownFactor: 1,
  };
  const speed = 1 + (index % 3) / 2;
  let incarnation = 0;
  let coldSince: Milliseconds | undefined = clock.now();
  let availableAt = 0;
  let prefillBusyUntil = 0;

  function end(request: string, outcome: Parameters<StreamListener['onEnd']>[0]): void {
    const stream = streams.get(request);
    if (stream !== undefined) {
      streams.delete(request);
      stream.timers.forEach((timer) => timer.cancel());
      stream.listener.onEnd(outcome, clock.now() - stream.startedAt);
    }
  }

  function restart(downFor: Milliseconds): void {
    incarnation += 1;
    availableAt = clock.now() + downFor;
    coldSince = availableAt;
    [...streams.keys()].forEach((request) => end(request, 'backendServerFailed'));
  }

  function getSlowDownFactor(): number {
    const isCold = coldSince !== undefined && clock.now() - coldSince < WARM_AFTER_MILLISECONDS;
    const overloadFactor = isCold ? Math.max(1, streams.size / COLD_STREAM_CAPACITY) : 1;
    return (isCold ? COLD_SLOW_DOWN_FACTOR : 1) * overloadFactor * state.slowDownFactor * speed;
  }

  function start(request: string, work: StreamWork, stream: Stream): void {
    const prefill = PREFILL_MILLISECONDS + work.promptTokens * PREFILL_TOKEN_MILLISECONDS;
    const prefillTime = prefill * getSlowDownFactor() * (0.8 + 0.4 * random.next());
    const firstTokenDelay = Math.max(0, prefillBusyUntil - clock.now()) + prefillTime;
    prefillBusyUntil = clock.now() + firstTokenDelay;
    const decodeTime = work.outputTokens * TOKEN_MILLISECONDS * getSlowDownFactor();
    if (state.silent) {
      stream.timers = [clock.after(STALL_DETECTION_TIMEOUT, () => end(request, 'silent'))];
      return;
    }
    stream.timers = [
      clock.after(firstTokenDelay, () => stream.listener.onFirstToken(firstTokenDelay)),
      clock.after(firstTokenDelay + decodeTime, () => end(request, 'completed')),
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
      if (state.failing || clock.now() < availableAt) {
        end(grant.request, 'backendServerFailed');
        return;
      }
      start(grant.request, work, stream);
      const isCold = coldSince !== undefined && clock.now() - coldSince < WARM_AFTER_MILLISECONDS;
      if (isCold && streams.size > COLD_STREAM_CAPACITY * CRASH_FACTOR) {
        restart(CRASH_DOWNTIME_MILLISECONDS);
      }
    },
    cancel(request) {
      streams.get(request)?.timers.forEach((timer) => timer.cancel());
      streams.delete(request);
    },
    resetToCold() {
      coldSince = clock.now();
    },
    restart,
    createLoadReport: () => ({
      kind: 'loadReported',
      backendServer: id,
      backendServerIncarnation: `${id}-${incarnation}`,
      reportAge: 100,
      runningRequests: streams.size,
      waitingRequests: 0,
      memoryTokensUsed: 0,
      memoryTokensTotal: MEMORY_TOKENS,
      version: 'v1',
      ready: clock.now() >= availableAt,
      leaving: state.leaving,
    }),
  };
}
