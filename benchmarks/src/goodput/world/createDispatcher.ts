import type { FailureDomainId, RequestId, VirtualClock } from '@rattanreel/core';
import type { DispatchEnd, DispatchListener, RequestTask, SimulatedEngine } from '../types';

interface DispatcherOptions {
  readonly clock: VirtualClock;
  latency(from: FailureDomainId, to: FailureDomainId): number;
  isHere(task: RequestTask): boolean;
  /** Tells the caller that its first token is out. */
  firstToken(task: RequestTask): void;
}

/** Carries requests to engines and their answers back to the entry host that sent them. */
interface Dispatcher {
  dispatch(task: RequestTask, engine: SimulatedEngine, listener: DispatchListener): void;
  cancel(from: FailureDomainId, engine: SimulatedEngine, request: RequestId): void;
}

/** A dispatcher over simulated latencies. */
export default function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, latency } = options;

  function submit(task: RequestTask, engine: SimulatedEngine, listener: DispatchListener): void {
    const { arrival, host } = task;
    const way = latency(host.failureDomain, engine.failureDomain);

    function tellHost(action: () => void): void {
      clock.after(way, () => {
        if (options.isHere(task)) {
          action();
        }
      });
    }

    function end(dispatchEnd: DispatchEnd): void {
      tellHost(() => listener.onEnd(dispatchEnd));
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
            tellHost(() => {
              options.firstToken(task);
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
      const way = latency(task.host.failureDomain, engine.failureDomain);
      clock.after(way, () => submit(task, engine, listener));
    },
    cancel(from, engine, request) {
      clock.after(latency(from, engine.failureDomain), () => engine.model.cancel(request));
    },
  };
}
