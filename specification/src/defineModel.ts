import exploreModel from './exploreModel';
import type { BreakableGuard, ModelDefinition, ModelEvent, ProtocolModel } from './types';

interface ModelOptions<State, Event extends ModelEvent> {
  readonly name: string;
  readonly bounds: string;
  readonly guards: readonly BreakableGuard[];
  /** Creates the model; `hasGuard` returns whether a guard is in place. */
  readonly create: (hasGuard: (guard: string) => boolean) => ProtocolModel<State, Event>;
}

/** Creates a definition that hides the types of a model's states and events. */
export default function defineModel<State, Event extends ModelEvent>(
  options: ModelOptions<State, Event>,
): ModelDefinition {
  const { name, bounds, guards, create } = options;
  return {
    name,
    bounds,
    guards,
    invariants: create(() => true).invariants.map((invariant) => invariant.name),
    explore: (droppedGuard) => exploreModel(create((guard) => guard !== droppedGuard)),
  };
}
