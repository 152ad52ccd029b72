/** Types of the bounded models of the core protocol and of the results of their exploration. */

/** A step of a model; `kind` says what happens, the other fields where. */
export interface ModelEvent {
  readonly kind: string;
}

/** A property that must hold in every reachable state. */
export interface Invariant<State> {
  readonly name: string;
  readonly holds: (state: State) => boolean;
}

/**
 * One part of the protocol as a transition system with a finite number of states. States are plain
 * data.
 */
export interface ProtocolModel<State, Event extends ModelEvent> {
  readonly initial: State;
  /** Returns the steps that are possible in a state. */
  events(state: State): readonly Event[];
  /** Returns the state after a step. Must not mutate the given state. */
  next(state: State, event: Event): State;
  readonly invariants: readonly Invariant<State>[];
}

/** A check of the protocol that can be dropped to show that an invariant depends on it. */
export interface BreakableGuard {
  readonly name: string;
  /** The invariant that is violated first, with the shortest trace, without this guard. */
  readonly invariant: string;
}

/** One step of a trace: the event and the resulting state, as JSON text. */
export interface TraceStep {
  readonly event: string;
  readonly state: string;
}

/** Result of the exploration of one model. */
export type Exploration =
  | { readonly kind: 'holds'; readonly states: number; readonly transitions: number }
  | {
      readonly kind: 'violated';
      readonly invariant: string;
      /** Number of states explored until the violation was found. */
      readonly states: number;
      /** A shortest trace from the initial state to the violation. */
      readonly trace: readonly TraceStep[];
    }
  /** The model has more transitions than the limit: nothing is proved. */
  | { readonly kind: 'limitReached'; readonly limit: number };

/** A model with its bounds and its guards. */
export interface ModelDefinition {
  readonly name: string;
  /** Description of the bounds within which the exploration is exhaustive. */
  readonly bounds: string;
  readonly invariants: readonly string[];
  readonly guards: readonly BreakableGuard[];
  /** Explores the model without the guard `droppedGuard`, or with all guards if it is omitted. */
  explore(droppedGuard?: string): Exploration;
}
