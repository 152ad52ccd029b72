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
const OUTAGE_RETRY_DELAY: Milliseconds = 1_000;
/** Time until a call whose response was lost resolves as `lost`. */
const LOST_RESPONSE_TIMEOUT: Milliseconds = 30_000;

function isWrite(call: StoreCall): boolean {
  return call.kind === 'create' || call.kind === 'update' || call.kind === 'remove';
}

/**
 * Creates an in-memory store with the object API's versions, conditions, watches, rate limits and
 * faults.
 */
export default function createObjectStoreModel(options: ObjectStoreModelOptions): ObjectStoreModel {
  const { clock, random } = options;
  const latency = options.latency ?? DEFAULT_LATENCY;
  const hosts = createHostList(clock, options.hostListLag ?? DEFAULT_HOST_LIST_LAG);
  const state = createStoreState({
    historyLength: options.historyLength ?? DEFAULT_HISTORY_LENGTH,
    onChange: publish,
  });
  const watchHub = createWatchHub({
    clock,
    bookmarkInterval: options.bookmarkInterval ?? DEFAULT_BOOKMARK_INTERVAL,
    getVersion: state.getVersion,
  });
  const writesPerSecond = options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
  const readsPerSecond = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
  const writeBucket = createTokenBucket({
    clock,
    tokensPerSecond: writesPerSecond,
    burst: writesPerSecond,
  });
  const readBucket = createTokenBucket({
    clock,
    tokensPerSecond: readsPerSecond,
    burst: readsPerSecond,
  });
  const timers = new Set<Timer>();
  const counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
  const faultPlan = createFaultPlan(random);

  function publish(change: StoreChange): void {
    watchHub.publish(change);
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
      ? { kind: 'hosts', hosts: hosts.getVisibleHosts() }
      : state.apply(call);
  }

  async function loseResponse(): Promise<StoreReply> {
    await sleep(LOST_RESPONSE_TIMEOUT);
    return { kind: 'lost' };
  }

  function countCall(call: StoreCall): void {
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

  async function handleCall(call: StoreCall): Promise<StoreReply> {
    if (faultPlan.getFaults().outage === 'refusing') {
      return refuse('outage', OUTAGE_RETRY_DELAY);
    }
    const bucket = isWrite(call) ? writeBucket : readBucket;
    if (!bucket.tryTake()) {
      return refuse('rateLimited', bucket.getWaitTime());
    }
    countCall(call);
    const fault = isWrite(call) ? faultPlan.tryDrawWriteFault() : undefined;
    if (fault === undefined) {
      return apply(call);
    }
    if (fault.kind === 'landLate') {
      clock.after(fault.delay, () => apply(call));
    } else {
      apply(call);
    }
    return loseResponse();
  }

  return {
    async call(call) {
      if (faultPlan.getFaults().outage === 'silent') {
        return loseResponse();
      }
      const oneWayLatency = (latency + faultPlan.getFaults().extraLatency) / 2;
      await sleep(oneWayLatency);
      const reply = await handleCall(call);
      await sleep(oneWayLatency);
      return reply;
    },
    openWatch(request, listener) {
      counts.watches += 1;
      const pastChanges = state.tryGetChangesAfter(request.after);
      if (
        faultPlan.getFaults().outage !== 'none' ||
        !readBucket.tryTake() ||
        pastChanges === undefined
      ) {
        const reason = pastChanges === undefined ? 'tooOld' : 'refused';
        const timer = clock.after(latency, () => listener({ kind: 'ended', reason }));
        return { close: () => timer.cancel() };
      }
      return watchHub.open(request, pastChanges, listener);
    },
    setFaults(changed) {
      faultPlan.setFaults(changed);
      if (changed.outage === 'silent') {
        watchHub.stallAll();
      } else if (changed.outage === 'refusing') {
        watchHub.endAll();
      }
    },
    failNextWrite: faultPlan.failNextWrite,
    stallWatches: watchHub.stallAll,
    endWatches: watchHub.endAll,
    putHost: hosts.put,
    removeHost: hosts.remove,
    getCounts: () => ({ ...counts }),
    close() {
      watchHub.close();
      timers.forEach((timer) => timer.cancel());
    },
  };
}
