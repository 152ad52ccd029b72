import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type { AttemptRequest, AttemptSink } from '../servers/types';
import type { AttemptOutcome, ListedServer } from '../types';
import createTestLimits from './createTestLimits';
import createTestRoom from './createTestRoom';
import createTestSpeed from './createTestSpeed';
import headerNames from './headerNames';
import type { TestHost } from './types';

const MINIMUM_PREFILL: Milliseconds = 40;
const PREFILL_SPREAD: Milliseconds = 60;
const EVENTS = 4;
const EVENT_INTERVAL: Milliseconds = 30;
/** Share of crashing requests whose answer begins before the engine ends. */
const PARTIAL_ANSWER_SHARE = 0.3;
const RESTART_TIME: Milliseconds = 2_000;
const RESTART_SPREAD: Milliseconds = 1_500;
/** Time until the platform's list follows the end of an engine. */
const EXPIRY_TIME: Milliseconds = 3_600;

interface TestRun {
  readonly host: TestHost;
  readonly request: AttemptRequest;
  readonly sink: AttemptSink;
  isEnded: boolean;
}

/** How an engine answers badly. */
interface BadBehaviour {
  readonly failShare: number;
  readonly slowShare: number;
  /** Multiple of the usual times that a slow answer takes. */
  readonly slowness: number;
  /** Whether it affects a request to a target while so many run; all are affected if absent. */
  readonly isAffected?: (target: string, running: number) => boolean;
}

const USUAL: BadBehaviour = { failShare: 0, slowShare: 0, slowness: 1 };

interface TestEngineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly listed: ListedServer;
  /** Mean work of a plain service, whose response is one chunk; undefined for a model engine. */
  readonly serviceWork?: Milliseconds | undefined;
  /** Returns why the engine ends when it begins to answer a request; undefined if it does not. */
  readonly tryGetCrashCause: (request: AttemptRequest) => string | undefined;
  readonly onCrash: (cause: string | undefined) => void;
  /** Called when the engine falls over since it turned away too many requests. */
  readonly onFall: () => void;
  /** Called with the engine's identifier when it fails to answer, or answers slowly. */
  readonly onBadAnswer: (id: string) => void;
  /** Called when the platform's list no longer has the process that ended. */
  readonly onExpired: (id: string) => void;
  readonly onStarted: () => void;
}

function sendHead({ sink }: TestRun, headers: Record<string, string>, status = 200): void {
  sink.onHead({ status, headers, isDelimitedByClose: false });
}

/** Returns how a request is answered while a number of requests run. */
function getBehaviourFor(behaviour: BadBehaviour, run: TestRun, running: number): BadBehaviour {
  const { isAffected = () => true } = behaviour;
  return isAffected(run.request.target, running) ? behaviour : USUAL;
}

/**
 * Creates an engine in virtual time. It ends when it begins to answer a request that crashes it, and
 * starts again seconds later as a new process.
 */
export default function createTestEngine(options: TestEngineOptions) {
  const { clock, random, serviceWork } = options;
  let { listed } = options;
  let isUp = true;
  let starts = 0;
  let running = new Set<TestRun>();
  let waiting: TestRun[] = [];
  let behaviour = USUAL;
  const speed = createTestSpeed(clock);
  const room = createTestRoom(clock);
  const limits = createTestLimits(clock);

  function end(run: TestRun, outcome: AttemptOutcome): void {
    if (!run.isEnded) {
      run.isEnded = true;
      run.sink.onEnd(outcome);
    }
  }

  /** Breaks the connections of all requests. */
  function reset(reason: string): void {
    const runs = [...running, ...waiting];
    running = new Set();
    waiting = [];
    runs.forEach((run) => end(run, { kind: 'broken', reason }));
  }

  function restart(): void {
    starts += 1;
    const id = `${listed.id.split('.', 1)[0]!}.${starts}`;
    listed = { ...listed, id, startedAt: clock.now() };
    isUp = true;
    options.onStarted();
  }

  function crash(cause: string | undefined): void {
    options.onCrash(cause);
    isUp = false;
    const { id } = listed;
    reset('other side closed');
    clock.after(EXPIRY_TIME, () => options.onExpired(id));
    clock.after(RESTART_TIME + random.next() * RESTART_SPREAD, restart);
  }

  function createHeaders({ host, request }: TestRun): Record<string, string> {
    return {
      [headerNames.requestId]: request.requestId,
      ...room.getHeaders(),
      ...speed.getHeaders(running.size, waiting.length, listed.slots),
      ...limits.getHeaders(host),
    };
  }

  function finish(run: TestRun, status: number): void {
    running.delete(run);
    end(run, { kind: 'whole', status });
    startNext();
  }

  function sendEvents(run: TestRun, sent: number, slowness: number): void {
    if (!running.has(run)) {
      return;
    }
    if (serviceWork !== undefined) {
      run.sink.onData(Buffer.from('text'));
    } else if (sent < EVENTS) {
      run.sink.onData(Buffer.from(`id: ${sent}\ndata: text\n\n`));
      speed.work(EVENT_INTERVAL * slowness, () => sendEvents(run, sent + 1, slowness));
      return;
    }
    finish(run, 200);
  }

  function answer(run: TestRun, slowness: number): void {
    if (!running.has(run)) {
      return;
    }
    const headers = createHeaders(run);
    if (slowness > 1) {
      options.onBadAnswer(listed.id);
    }
    if (random.next() < getBehaviourFor(behaviour, run, running.size).failShare) {
      options.onBadAnswer(listed.id);
      sendHead(run, headers, 500);
      finish(run, 500);
      return;
    }
    const cause = options.tryGetCrashCause(run.request);
    if (cause === undefined) {
      sendHead(run, headers);
      sendEvents(run, 0, slowness);
      return;
    }
    if (random.next() < PARTIAL_ANSWER_SHARE) {
      sendHead(run, headers);
      run.sink.onData(Buffer.from('id: 0\nda'));
    }
    crash(cause);
  }

  function startNext(): void {
    while (isUp && running.size < listed.slots && waiting.length > 0) {
      const run = waiting.shift()!;
      running.add(run);
      const { slowShare, slowness: badSlowness } = getBehaviourFor(behaviour, run, running.size);
      const slowness = random.next() < slowShare ? badSlowness : 1;
      const usual =
        serviceWork === undefined
          ? MINIMUM_PREFILL + random.next() * PREFILL_SPREAD
          : serviceWork * (0.5 + random.next());
      speed.work(usual * slowness, () => answer(run, slowness));
    }
  }

  /** Turns a request away; a brittle engine falls over once that happens too often in a second. */
  function turnAway(run: TestRun): void {
    sendHead(run, createHeaders(run), 503);
    const retryAfter = room.getRetryAfter();
    end(run, { kind: 'notRun', status: 503, ...(retryAfter !== undefined && { retryAfter }) });
    if (room.turnAway()) {
      options.onFall();
      crash(undefined);
    }
  }

  return {
    getListed: () => listed,
    isUp: () => isUp,
    limits: limits.limits,
    toldAt: limits.toldAt,
    /** Accepts a request that was sent to the server `id`; returns whether it reached the engine. */
    accept(run: TestRun, id: string): boolean {
      if (!isUp) {
        end(run, { kind: 'notConnected' });
        return false;
      }
      if (listed.id !== id) {
        end(run, { kind: 'notRun', status: 421 });
        return false;
      }
      if (room.isFull(waiting.length) && running.size >= listed.slots) {
        turnAway(run);
      } else {
        waiting.push(run);
        startNext();
      }
      return true;
    },
    cancel(run: TestRun): void {
      waiting = waiting.filter((each) => each !== run);
      running.delete(run);
      startNext();
    },
    /** Breaks all connections, although the engine does not end. */
    resetConnections: () => reset('reset'),
    crash,
    setBehaviour(next: BadBehaviour): void {
      behaviour = next;
    },
    countRunning: () => running.size,
    speed,
    room,
    /** Makes the engine name another limit, or none, in its answers. */
    setLimit: limits.set,
  };
}
