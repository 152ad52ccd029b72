import { fail, ok } from '@rattanreel/core';
import type { Outcome, RequestId, Timer } from '@rattanreel/core';
import type {
  EngineModel,
  EngineModelOptions,
  EngineRefusal,
  EngineRequest,
  EngineStatus,
  RequestAudit,
} from './types';
import createCacheEventLog from './createCacheEventLog';
import createEngineBatch from './createEngineBatch';
import createEngineState from './createEngineState';
import createLoadHistory from './createLoadHistory';
import createPrefixCache from './createPrefixCache';
import createRequestAudit from './createRequestAudit';
import createWarmth from './createWarmth';
import getDefaultedOptions from './getDefaultedOptions';
import getRefusal from './getRefusal';
import takeSnapshot from './takeSnapshot';

const BLOCK_TOKENS = 64;
const DEFAULT_RESTART_MILLISECONDS = 5_000;

/** A continuous-batching engine with a queue of its own that knows no tiers. */
export default function createEngineModel(given: EngineModelOptions): EngineModel {
  const options = getDefaultedOptions(given);
  const { clock, random, hardware } = options;
  const restartMilliseconds = options.coldStart.restartMilliseconds ?? DEFAULT_RESTART_MILLISECONDS;
  const warmth = createWarmth({
    coldStart: options.coldStart,
    cold: options.cold,
    maximumStreams: hardware.maximumStreams,
  });
  const cache = createPrefixCache(Math.floor(hardware.prefixCacheTokens / BLOCK_TOKENS));
  const cacheLog = createCacheEventLog({
    clock,
    random,
    delay: options.cacheEventDelay,
    lossShare: options.cacheEventLossShare,
  });
  const state = createEngineState(hardware, warmth, clock.now());
  const audits = new Map<RequestId, RequestAudit>();
  const status: EngineStatus = {
    incarnation: random.identifier(),
    version: options.version,
    ready: true,
    leaving: false,
    failuresLeft: 0,
  };
  let restartTimer: Timer | undefined;
  /** Streams that were in hand when the engine turned cold; it slows down under them but does not fall over. */
  let submittedWarm: ReadonlySet<RequestId> = new Set();

  const snapshot = () => takeSnapshot(state, status);
  const history = createLoadHistory(clock, options.reportLag, snapshot());
  const batch = createEngineBatch({
    clock,
    state,
    cache,
    everyToken: options.everyToken,
    onCacheChange: cacheLog.record,
    onChange: () => history.record(snapshot()),
  });

  function chill(): void {
    cacheLog.record({ added: [], removed: cache.clear() });
    warmth.reset();
    batch.replan();
    submittedWarm = batch.requests();
  }

  function restart(duration: number): void {
    status.ready = false;
    batch.failAll();
    status.incarnation = random.identifier();
    chill();
    restartTimer?.cancel();
    restartTimer = clock.after(duration, () => {
      status.ready = true;
      batch.replan();
    });
  }

  function submit(request: EngineRequest): Outcome<void, EngineRefusal> {
    const seen = audits.get(request.request);
    const audit = seen ?? createRequestAudit(request.request);
    audit.dispatches += 1;
    audits.set(request.request, audit);
    const refusal = getRefusal(status, hardware, request, seen);
    if (refusal !== undefined) {
      return fail(refusal);
    }
    audit.state = 'running';
    batch.add(request, audit);
    if (warmth.fallsOver(batch.countOthers(submittedWarm))) {
      restart(restartMilliseconds);
    }
    return ok(undefined);
  }

  return {
    id: options.id,
    submit,
    cancel: (request) => batch.end(request, 'cancelled'),
    fail: (request) => batch.end(request, 'failed'),
    load: history.newest,
    cacheEvents: cacheLog.after,
    importPrefixes: (hashes) => cacheLog.record(cache.insert(hashes)),
    audit: () => [...audits.values()],
    slowDown(factor) {
      batch.replan();
      state.slowDownFactor = factor;
      batch.replan();
    },
    turnCold: chill,
    fallOver: () => restart(restartMilliseconds),
    failNext(count) {
      status.failuresLeft = count;
    },
    loadVersion(next, duration) {
      status.version = next;
      restart(duration);
    },
    announceLeaving(next) {
      status.leaving = next;
      batch.replan();
    },
    close() {
      batch.stop();
      restartTimer?.cancel();
    },
  };
}
