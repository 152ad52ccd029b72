import type { TraceStep } from './types';

/** A transition between two states. */
interface Edge {
  readonly state: { readonly context: unknown };
  readonly event: { readonly step: unknown };
  readonly nextState: { readonly context: unknown };
}

interface Predecessor {
  readonly from: string;
  readonly event: string;
}

/**
 * Returns a shortest trace from the first edge's state to `target`; `edges` are in breadth-first
 * order.
 */
export default function findTrace(edges: readonly Edge[], target: string): readonly TraceStep[] {
  const predecessors = new Map<string, Predecessor>();
  const initial = JSON.stringify(edges[0]?.state.context);
  for (const { state, event, nextState } of edges) {
    const to = JSON.stringify(nextState.context);
    if (to !== initial && !predecessors.has(to)) {
      predecessors.set(to, {
        from: JSON.stringify(state.context),
        event: JSON.stringify(event.step),
      });
    }
    if (to === target) {
      break;
    }
  }
  const trace: TraceStep[] = [];
  let state = target;
  for (let step = predecessors.get(state); step !== undefined; step = predecessors.get(state)) {
    trace.unshift({ event: step.event, state });
    state = step.from;
  }
  return trace;
}
