import type { Milliseconds, Timer, VirtualClock } from '@rattanreel/core';
import type { Arrival, RequestOutcome, RequestRecord, RequestTask } from '../types';

interface CallersOptions {
  readonly clock: VirtualClock;
  readonly toCallersMilliseconds: Milliseconds;
  /** Called when a caller's disconnect reaches its entry host. */
  onCallerDisconnect(task: RequestTask): void;
}

interface WaitingCaller {
  readonly task: RequestTask;
  timers: readonly Timer[];
}

/** The callers; each waits for its own deadlines and then disconnects. */
interface Callers {
  readonly records: readonly RequestRecord[];
  /** Number of requests without an outcome. */
  readonly openRequests: number;
  open(arrival: Arrival): RequestRecord;
  /** Starts the deadlines of a request that an entry host has accepted. */
  startDeadlines(task: RequestTask): void;
  recordFirstToken(task: RequestTask): void;
  end(task: RequestTask, outcome: RequestOutcome): void;
  /** Ends every open request that matches. */
  endWhere(outcome: RequestOutcome, matches: (task: RequestTask) => boolean): void;
}

/** Creates callers without requests. */
export default function createCallers(options: CallersOptions): Callers {
  const { clock, toCallersMilliseconds } = options;
  const records: RequestRecord[] = [];
  const waiting = new Map<string, WaitingCaller>();
  let openRequests = 0;

  function close(task: RequestTask, outcome: RequestOutcome): void {
    const waitingCaller = waiting.get(task.arrival.request);
    if (waitingCaller === undefined) {
      return;
    }
    waitingCaller.timers.forEach((timer) => timer.cancel());
    waiting.delete(task.arrival.request);
    task.record.outcome = outcome;
    openRequests -= 1;
    task.record.endedAt = clock.now();
  }

  function disconnect(task: RequestTask): void {
    if (waiting.has(task.arrival.request)) {
      close(task, 'callerLeft');
      clock.after(toCallersMilliseconds, () => options.onCallerDisconnect(task));
    }
  }

  function disconnectWithoutFirstToken(task: RequestTask): void {
    if (task.record.firstTokenAfter === undefined) {
      disconnect(task);
    }
  }

  return {
    records,
    get openRequests() {
      return openRequests;
    },
    open(arrival) {
      const record: RequestRecord = {
        arrival,
        entryHost: undefined,
        outcome: 'open',
        firstTokenAfter: undefined,
        endedAt: undefined,
        refusal: undefined,
      };
      records.push(record);
      openRequests += 1;
      return record;
    },
    startDeadlines(task) {
      const { at, firstTokenDue, due } = task.arrival;
      const passed = clock.now() - at;
      const timers = [
        clock.after(firstTokenDue - passed, () => disconnectWithoutFirstToken(task)),
        clock.after(due - passed, () => disconnect(task)),
      ];
      waiting.set(task.arrival.request, { task, timers });
    },
    recordFirstToken(task) {
      clock.after(toCallersMilliseconds, () => {
        if (waiting.has(task.arrival.request)) {
          task.record.firstTokenAfter = clock.now() - task.arrival.at;
        }
      });
    },
    end(task, outcome) {
      clock.after(toCallersMilliseconds, () => close(task, outcome));
    },
    endWhere(outcome, matches) {
      [...waiting.values()]
        .filter(({ task }) => matches(task))
        .forEach(({ task }) => close(task, outcome));
    },
  };
}
