import { adjacencyMapToArray, getAdjacencyMap } from '@xstate/graph';
import { fromTransition } from 'xstate';
import findTrace from './findTrace';
import type { Exploration, Invariant, ModelEvent, ProtocolModel } from './types';

/** Maximum number of transitions of one model; the bounds of a model should stay well below it. */
const TRANSITION_LIMIT = 400_000;

/** Event of the graph library, which requires a `type`; wraps the model's own event. */
interface WrappedEvent<Event> {
  readonly type: 'step';
  readonly step: Event;
}

/**
 * Explores the reachable states of a model breadth-first and checks every invariant in each. Stops
 * at the first violation or at `limit` transitions.
 */
export default function exploreModel<State, Event extends ModelEvent>(
  model: ProtocolModel<State, Event>,
  limit = TRANSITION_LIMIT,
): Exploration {
  let transitions = 0;
  let violated: Invariant<State> | undefined;
  let violatingState: State | undefined;

  function shouldStop(state: State): boolean {
    if (violated === undefined) {
      violated = model.invariants.find((invariant) => !invariant.holds(state));
      violatingState = state;
    }
    return violated !== undefined;
  }

  const logic = fromTransition((state: State, event: WrappedEvent<Event>): State => {
    transitions += 1;
    return model.next(state, event.step);
  }, model.initial as never);

  try {
    const adjacency = getAdjacencyMap(logic, {
      events: ({ context }) =>
        model.events(context).map((step) => ({ type: 'step' as const, step })),
      serializeState: ({ context }) => JSON.stringify(context),
      serializeEvent: ({ step }) => JSON.stringify(step),
      stopWhen: ({ context }) => shouldStop(context),
      limit,
    });
    const states = Object.keys(adjacency).length;
    return violated === undefined
      ? { kind: 'holds', states, transitions }
      : {
          kind: 'violated',
          invariant: violated.name,
          states,
          trace: findTrace(adjacencyMapToArray(adjacency), JSON.stringify(violatingState)),
        };
  } catch (error) {
    if (transitions >= limit) {
      return { kind: 'limitReached', limit };
    }
    throw error;
  }
}
