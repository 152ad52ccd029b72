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
import createWarmUpModel from './createWarmUpModel';
import applyDefaultOptions from './applyDefaultOptions';
import tryGetRefusal from './tryGetRefusal';
import takeSnapshot from './takeSnapshot';

const BLOCK_TOKENS = 64;
const DEFAULT_RESTART_MILLISECONDS = 5_000;

/**
 * Creates a continuous-batching engine with its own first-come, first-served queue without tiers.
 */
export default function createEngineModel(givenOptions: EngineModelOptions): EngineModel {
  const options = applyDefaultOptions(givenOptions);
  const { clock, random, hardware } = options;
  const restartMilliseconds = options.coldStart.restartMilliseconds ?? DEFAULT_RESTART_MILLISECONDS;
  const warmUp = createWarmUpModel({
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
  const state = createEngineState(hardware, warmUp, clock.now());
  const audits = new Map<RequestId, RequestAudit>();
  const status: EngineStatus = {
    incarnation: random.identifier(),
    version: options.version,
    ready: true,
    leaving: false,
    remainingInjectedFailures: 0,
  };
  let restartTimer: Timer | undefined;
  /** Requests present at the last reset to cold: they slow the engine down but cannot crash it. */
  let requestsBeforeReset: ReadonlySet<RequestId> = new Set();

  const snapshot = () => takeSnapshot(state, status);
  const history = createLoadHistory(clock, options.reportLag, snapshot());
  const batch = createEngineBatch({
    clock,
    state,
    cache,
    notifyEveryToken: options.notifyEveryToken,
    onCacheChange: cacheLog.record,
    onChange: () => history.record(snapshot()),
  });

  function resetToCold(): void {
    cacheLog.record({ added: [], removed: cache.clear() });
    warmUp.reset();
    batch.update();
    requestsBeforeReset = batch.getRequests();
  }

  function restart(duration: number): void {
    status.ready = false;
    batch.failAll();
    status.incarnation = random.identifier();
    resetToCold();
    restartTimer?.cancel();
    restartTimer = clock.after(duration, () => {
      status.ready = true;
      batch.update();
    });
  }

  function submit(request: EngineRequest): Outcome<void, EngineRefusal> {
    const previousAudit = audits.get(request.request);
    const audit = previousAudit ?? createRequestAudit(request.request);
    audit.dispatches += 1;
    audits.set(request.request, audit);
    const refusal = tryGetRefusal(status, hardware, request, previousAudit);
    if (refusal !== undefined) {
      return fail(refusal);
    }
    audit.state = 'running';
    batch.add(request, audit);
    if (warmUp.crashesUnder(batch.countOthers(requestsBeforeReset))) {
      restart(restartMilliseconds);
    }
    return ok(undefined);
  }

  return {
    id: options.id,
    submit,
    cancel: (request) => batch.end(request, 'cancelled'),
    fail: (request) => batch.end(request, 'failed'),
    getLoad: history.getNewestVisible,
    getCacheEventsAfter: cacheLog.getEventsAfter,
    importPrefixes: (hashes) => cacheLog.record(cache.insert(hashes)),
    getAudits: () => [...audits.values()],
    slowDown(factor) {
      batch.update();
      state.slowDownFactor = factor;
      batch.update();
    },
    resetToCold,
    crash: () => restart(restartMilliseconds),
    failNextRequests(count) {
      status.remainingInjectedFailures = count;
    },
    loadVersion(next, duration) {
      status.version = next;
      restart(duration);
    },
    setLeaving(next) {
      status.leaving = next;
      batch.update();
    },
    close() {
      batch.stop();
      restartTimer?.cancel();
    },
  };
}
