import { Debug } from '@rattanreel/core';
import type { EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import { createObjectStore, sleep } from '@rattanreel/platform';
import type { ObjectStore } from '@rattanreel/platform';
import { createModelTransport } from '@rattanreel/stand-in-platform';
import createOrderExecutor from '../createOrderExecutor';
import type { AskOwner, OrderExecutor, OwnerAnswer, PeerView } from '../types';
import createBookingServer from './createBookingServer';
import createProcessClock from './createProcessClock';
import type {
  FleetFaults,
  FleetTimes,
  OrderFleet,
  OrderFleetOptions,
  ProcessClock,
  SubmissionOutcome,
} from './types';

const NO_FAULTS: FleetFaults = { refusedShare: 0, brokenShare: 0, lostAnswerShare: 0 };
const DEFAULT_TIMES: FleetTimes = {
  network: 1.5,
  queue: 20,
  service: 200,
  detectionTime: 3_000,
  questionTimeout: 12_000,
};
const CALL_BUDGET = { callsPerSecond: 500, burst: 500 };

interface Process {
  readonly host: EntryHostId;
  readonly incarnation: Incarnation;
  readonly clock: ProcessClock;
  readonly executor: OrderExecutor;
  readonly onEnd: Set<() => void>;
  /** When the process was paused or ended; undefined while it runs. */
  stoppedAt: Milliseconds | undefined;
  hasEnded: boolean;
}

/** Creates order executors on several hosts that share one store and one booking server, in virtual time. */
export default function createOrderFleet(options: OrderFleetOptions): OrderFleet {
  const { clock, random, model } = options;
  const faults = { ...NO_FAULTS, ...options.faults };
  const times = { ...DEFAULT_TIMES, ...options.times };
  const onDispatch = options.onDispatch ?? (() => undefined);
  const bookingServer = createBookingServer({ clock, random, faults, times, onDispatch });
  const processes = new Map<EntryHostId, Process>();
  let incarnations = 0;
  let ended = 0;

  function getProcess(host: EntryHostId): Process {
    return Debug.checkDefined(processes.get(host), host);
  }

  function isGone(process: Process, incarnation: Incarnation): boolean {
    const isDetected =
      process.stoppedAt !== undefined && clock.now() - process.stoppedAt > times.detectionTime;
    return process.incarnation !== incarnation || isDetected;
  }

  async function askPeer(...[owner, order]: Parameters<AskOwner>): Promise<OwnerAnswer> {
    await sleep(clock, times.network);
    const process = getProcess(owner.entryHost);
    if (isGone(process, owner.incarnation)) {
      return { kind: 'gone' };
    }
    const isLost = random.next() < faults.lostAnswerShare;
    const arrived = process.clock.deliver(Promise.resolve());
    const answer = arrived.then(() => process.executor.answerPeer(order, owner.nonce));
    const timedOut = sleep(clock, times.questionTimeout).then((): OwnerAnswer => ({
      kind: 'unreachable',
    }));
    const first = await Promise.race(isLost ? [timedOut] : [answer, timedOut]);
    await sleep(clock, times.network);
    return first;
  }

  function listPeers(host: EntryHostId): PeerView {
    const others = [...processes.values()].filter((process) => process.host !== host);
    const peers = others.map((process) => ({
      entryHost: process.host,
      incarnation: process.incarnation,
    }));
    return { peers, isComplete: ended === 0 };
  }

  function createStore(process: ProcessClock): ObjectStore {
    const transport = createModelTransport({ model, clock: process });
    const call: typeof transport.call = (storeCall, timeout) =>
      process.deliver(transport.call(storeCall, timeout));
    return createObjectStore({
      transport: { ...transport, call },
      clock: process,
      random,
      callBudget: CALL_BUDGET,
    });
  }

  function start(host: EntryHostId): void {
    incarnations += 1;
    const incarnation = `${host}#${incarnations}`;
    const process = createProcessClock(clock);
    const executor = createOrderExecutor({
      entryHost: host,
      incarnation,
      store: createStore(process),
      clock: process,
      random,
      dispatch: (order) => bookingServer.dispatch(process, order),
      askOwner: (owner, order) => process.deliver(askPeer(owner, order)),
      listPeers: () => listPeers(host),
      onDecision: (decision) => options.onDecision?.(host, decision),
    });
    const onEnd = new Set<() => void>();
    const fixed = { host, incarnation, clock: process, executor, onEnd };
    processes.set(host, { ...fixed, stoppedAt: undefined, hasEnded: false });
  }

  async function submit(...[host, order]: Parameters<OrderFleet['submit']>) {
    const process = getProcess(host);
    if (process.hasEnded) {
      return { kind: 'connectionLost' } as const;
    }
    return new Promise<SubmissionOutcome>((resolve, reject) => {
      const loseConnection = () => resolve({ kind: 'connectionLost' });
      process.onEnd.add(loseConnection);
      const arrived = process.clock.deliver(Promise.resolve());
      arrived
        .then(() => process.executor.submit(order))
        .then((result) => resolve({ kind: 'result', result }), reject)
        .finally(() => process.onEnd.delete(loseConnection));
    });
  }

  options.hosts.forEach(start);
  return {
    submit,
    getExecutor: (host) => getProcess(host).executor,
    pause(host) {
      getProcess(host).clock.pause();
      getProcess(host).stoppedAt ??= clock.now();
    },
    resume(host) {
      const process = getProcess(host);
      if (!process.hasEnded) {
        process.stoppedAt = undefined;
        process.clock.resume();
      }
    },
    end(host) {
      const process = getProcess(host);
      ended += 1;
      process.stoppedAt ??= clock.now();
      process.hasEnded = true;
      process.clock.end();
      process.onEnd.forEach((lose) => lose());
    },
    start,
    isRunning: (host) => getProcess(host).stoppedAt === undefined,
    getBookings: bookingServer.getBookings,
  };
}
