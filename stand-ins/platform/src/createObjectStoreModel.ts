import type { Milliseconds, Timer } from '@rattanreel/core';
import { createTokenBucket } from '@rattanreel/platform';
import type { StoreCall, StoreReply } from '@rattanreel/platform';
import createFaultPlan from './createFaultPlan';
import createHostList from './createHostList';
import createStoreState from './createStoreState';
import createWatchHub from './createWatchHub';
import type { ObjectStoreModel, ObjectStoreModelOptions, StoreChange } from './types';

const DEFAULT_WRITES_PER_SECOND = 300;
const DEFAULT_READS_PER_SECOND = 2_000;
const DEFAULT_LATENCY: Milliseconds = 4;
const DEFAULT_HISTORY_LENGTH = 20_000;
const DEFAULT_BOOKMARK_INTERVAL: Milliseconds = 5_000;
const DEFAULT_HOST_LIST_LAG: Milliseconds = 3_000;
const OUTAGE_RETRY_AFTER: Milliseconds = 1_000;
/** Time after which a connection whose answer was lost is given up by the store's side. */
const LOST_AFTER: Milliseconds = 30_000;

function isWrite(call: StoreCall): boolean {
  return call.kind === 'create' || call.kind === 'update' || call.kind === 'remove';
}

/** A store in memory with the object API's versions, conditions, watches, rates and faults. */
export default function createObjectStoreModel(options: ObjectStoreModelOptions): ObjectStoreModel {
  const { clock, random } = options;
  const latency = options.latency ?? DEFAULT_LATENCY;
  const hosts = createHostList(clock, options.hostListLag ?? DEFAULT_HOST_LIST_LAG);
  const state = createStoreState({
    historyLength: options.historyLength ?? DEFAULT_HISTORY_LENGTH,
    onChange: publish,
  });
  const hub = createWatchHub({
    clock,
    bookmarkInterval: options.bookmarkInterval ?? DEFAULT_BOOKMARK_INTERVAL,
    getVersion: state.getVersion,
  });
  const writesPerSecond = options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
  const readsPerSecond = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
  const writes = createTokenBucket({
    clock,
    tokensPerSecond: writesPerSecond,
    burst: writesPerSecond,
  });
  const reads = createTokenBucket({
    clock,
    tokensPerSecond: readsPerSecond,
    burst: readsPerSecond,
  });
  const timers = new Set<Timer>();
  const counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
  const plan = createFaultPlan(random);

  function publish(change: StoreChange): void {
    hub.publish(change);
  }

  function sleep(delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const timer = clock.after(delay, () => {
        timers.delete(timer);
        resolve();
      });
      timers.add(timer);
    });
  }

  function apply(call: StoreCall): StoreReply {
    return call.kind === 'listHosts'
      ? { kind: 'hosts', hosts: hosts.getListed() }
      : state.apply(call);
  }

  async function lose(): Promise<StoreReply> {
    await sleep(LOST_AFTER);
    return { kind: 'lost' };
  }

  function count(call: StoreCall): void {
    if (isWrite(call)) {
      counts.writes += 1;
    } else {
      counts.reads += 1;
    }
  }

  function refuse(reason: 'rateLimited' | 'outage', retryAfter: Milliseconds): StoreReply {
    counts.refused += 1;
    return { kind: 'refused', reason, retryAfter };
  }

  async function serve(call: StoreCall): Promise<StoreReply> {
    if (plan.getFaults().outage === 'refusing') {
      return refuse('outage', OUTAGE_RETRY_AFTER);
    }
    const bucket = isWrite(call) ? writes : reads;
    if (!bucket.tryTake()) {
      return refuse('rateLimited', bucket.getWait());
    }
    count(call);
    const fault = isWrite(call) ? plan.tryTakeWriteFault() : undefined;
    if (fault === undefined) {
      return apply(call);
    }
    if (fault.kind === 'landLate') {
      clock.after(fault.delay, () => apply(call));
    } else {
      apply(call);
    }
    return lose();
  }

  return {
    async call(call) {
      if (plan.getFaults().outage === 'silent') {
        return lose();
      }
      const oneWay = (latency + plan.getFaults().extraLatency) / 2;
      await sleep(oneWay);
      const reply = await serve(call);
      await sleep(oneWay);
      return reply;
    },
    openWatch(request, listener) {
      counts.watches += 1;
      const past = state.tryGetChangesAfter(request.after);
      if (plan.getFaults().outage !== 'none' || !reads.tryTake() || past === undefined) {
        const reason = past === undefined ? 'tooOld' : 'refused';
        const timer = clock.after(latency, () => listener({ kind: 'ended', reason }));
        return { close: () => timer.cancel() };
      }
      return hub.open(request, past, listener);
    },
    setFaults(changed) {
      plan.setFaults(changed);
      if (changed.outage === 'silent') {
        hub.silence();
      } else if (changed.outage === 'refusing') {
        hub.breakAll();
      }
    },
    failNextWrite: plan.failNextWrite,
    silenceWatches: hub.silence,
    breakWatches: hub.breakAll,
    putHost: hosts.put,
    removeHost: hosts.remove,
    getCounts: () => ({ ...counts }),
    close() {
      hub.close();
      timers.forEach((timer) => timer.cancel());
    },
  };
}
