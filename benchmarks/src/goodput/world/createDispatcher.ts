import type { FailureDomainId, RequestId, VirtualClock } from '@rattanreel/core';
import type { DispatchEnd, DispatchListener, RequestTask, SimulatedEngine } from '../types';

interface DispatcherOptions {
  readonly clock: VirtualClock;
  getLatency(from: FailureDomainId, to: FailureDomainId): number;
  isStillRunning(task: RequestTask): boolean;
  /** Reports the first token to the caller. */
  recordFirstToken(task: RequestTask): void;
}

/** Delivers requests to engines and their responses to the entry host that sent them. */
interface Dispatcher {
  dispatch(task: RequestTask, engine: SimulatedEngine, listener: DispatchListener): void;
  cancel(from: FailureDomainId, engine: SimulatedEngine, request: RequestId): void;
}

/** Creates a dispatcher with simulated latencies. */
export default function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, getLatency } = options;

  function submit(task: RequestTask, engine: SimulatedEngine, listener: DispatchListener): void {
    const { arrival, host } = task;
    const oneWayLatency = getLatency(host.failureDomain, engine.failureDomain);

    function deliverToHost(action: () => void): void {
      clock.after(oneWayLatency, () => {
        if (options.isStillRunning(task)) {
          action();
        }
      });
    }

    function end(dispatchEnd: DispatchEnd): void {
      deliverToHost(() => listener.onEnd(dispatchEnd));
    }

    if (!engine.reachable) {
      end({ kind: 'notConnected' });
      return;
    }
    const outcome = engine.model.submit({
      request: arrival.request,
      promptTokens: arrival.promptTokens,
      outputTokens: arrival.outputTokens,
      prefixHashes: arrival.prefixHashes,
      listener: {
        onTokens(outputTokens, cachedTokens) {
          if (outputTokens === 1) {
            deliverToHost(() => {
              options.recordFirstToken(task);
              listener.onFirstToken(cachedTokens);
            });
          }
        },
        onEnd: end,
      },
    });
    if (outcome.kind === 'error') {
      end({ kind: 'refused' });
    }
  }

  return {
    dispatch(task, engine, listener) {
      const oneWayLatency = getLatency(task.host.failureDomain, engine.failureDomain);
      clock.after(oneWayLatency, () => submit(task, engine, listener));
    },
    cancel(from, engine, request) {
      clock.after(getLatency(from, engine.failureDomain), () => engine.model.cancel(request));
    },
  };
}
