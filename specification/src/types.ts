/** Small models of the core protocol, and what their exhaustive exploration finds. */

/** A step that a model can take; `kind` tells what happens, further fields tell where. */
export interface ModelEvent {
  readonly kind: string;
}

/** A property that must hold in every reachable state. */
export interface Invariant<State> {
  readonly name: string;
  readonly holds: (state: State) => boolean;
}

/** One part of the protocol as a transition system. States are plain data, bounded in number. */
export interface ProtocolModel<State, Event extends ModelEvent> {
  readonly initial: State;
  /** The steps that are possible in a state. */
  events(state: State): readonly Event[];
  /** The state after a step. Must not change the state that it is given. */
  next(state: State, event: Event): State;
  readonly invariants: readonly Invariant<State>[];
}

/** A check of the protocol that can be dropped, to show that an invariant depends on it. */
export interface BreakableGuard {
  readonly name: string;
  /** The invariant that is violated first, by the shortest trace, without this guard. */
  readonly invariant: string;
}

/** One step of a trace: the event and the state that it leads to, as text. */
export interface TraceStep {
  readonly event: string;
  readonly state: string;
}

/** What the exploration of one model found. */
export type Exploration =
  | { readonly kind: 'holds'; readonly states: number; readonly transitions: number }
  | {
      readonly kind: 'violated';
      readonly invariant: string;
      /** States explored until the violation was found. */
      readonly states: number;
      /** A shortest way from the initial state to the violation. */
      readonly trace: readonly TraceStep[];
    }
  /** The bounds of the model are too wide for the limit: nothing is proved. */
  | { readonly kind: 'limitReached'; readonly limit: number };

/** A model with its bounds and its guards. */
export interface ModelDefinition {
  readonly name: string;
  /** Within which bounds the exploration is exhaustive. */
  readonly bounds: string;
  readonly invariants: readonly string[];
  readonly guards: readonly BreakableGuard[];
  /** Explores the model; `dropped` names a guard to leave out. */
  explore(droppedGuard?: string): Exploration;
}
