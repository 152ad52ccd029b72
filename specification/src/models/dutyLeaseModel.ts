import defineModel from '../defineModel';

/** Duration of a lease, in ticks. */
const DURATION = 2;
/** Wait of a candidate that finds no lease or learns of another era: longer than any lease. */
const WAIT = 3;
const GENERATION_LIMIT = 2;
const LAST_ERA = 1;
/** Generations below one era in a token. */
const GENERATIONS_PER_ERA = 10;
const ACTORS = [0, 1];

interface Actor {
  readonly knownEra: number;
  /** Remaining lease time; 0 if it does not hold the lease. */
  readonly left: number;
  readonly token: number;
  /** Ticks since it learnt the era, up to the wait. */
  readonly settled: number;
}

interface StoredLease {
  readonly holder: number;
  readonly generation: number;
  /** Ticks since its last write, up to the wait. */
  readonly age: number;
}

interface State {
  readonly era: number;
  /** Undefined if the store holds no lease, as a copy from before the first one. */
  readonly stored: StoredLease | undefined;
  readonly actors: readonly Actor[];
  /** Highest token of the calls that were sent. */
  readonly highest: number;
  readonly hasFallen: boolean;
}

type Event =
  | { readonly kind: 'advance' | 'restore' }
  | { readonly kind: 'learn' | 'acquire' | 'renew' | 'send'; readonly actor: number };

function updateActor(state: State, index: number, change: Partial<Actor>): State {
  const actors = state.actors.map((actor, position) =>
    position === index ? { ...actor, ...change } : actor,
  );
  return { ...state, actors };
}

/**
 * Model of the lease of the duties over a store that may return from a copy without a lease: two
 * candidates, either of which may learn of the new era late.
 */
const dutyLeaseModel = defineModel<State, Event>({
  name: 'duty-lease',
  bounds: '2 candidates, 2 eras, 2 generations in each, lease of 2 ticks, copy without a lease',
  guards: [
    { name: 'era-wait', invariant: 'one-duty-holder-at-a-time' },
    { name: 'era-in-token', invariant: 'duty-token-never-falls' },
  ],
  create(hasGuard) {
    function canAcquire({ era, stored }: State, { knownEra, left, settled }: Actor): boolean {
      const hasWaited = !hasGuard('era-wait') || settled >= WAIT;
      const isFree = stored === undefined || stored.age >= WAIT;
      const isBounded = (stored?.generation ?? 0) < GENERATION_LIMIT;
      return left === 0 && knownEra === era && hasWaited && isFree && isBounded;
    }

    function learn(state: State, actor: number): State {
      return updateActor(state, actor, { knownEra: state.era, left: 0, settled: 0 });
    }

    function acquire(state: State, actor: number): State {
      const generation = (state.stored?.generation ?? 0) + 1;
      const token = (hasGuard('era-in-token') ? state.era * GENERATIONS_PER_ERA : 0) + generation;
      const next = updateActor(state, actor, { left: DURATION, token });
      return { ...next, stored: { holder: actor, generation, age: 0 } };
    }

    function renew(state: State, actor: number): State {
      const { knownEra } = state.actors[actor]!;
      const { stored } = state;
      // The store refuses a write for a version of another era.
      return stored?.holder === actor && knownEra === state.era
        ? { ...updateActor(state, actor, { left: DURATION }), stored: { ...stored, age: 0 } }
        : learn(state, actor);
    }

    return {
      initial: {
        era: 0,
        stored: undefined,
        actors: ACTORS.map(() => ({ knownEra: 0, left: 0, token: 0, settled: 0 })),
        highest: 0,
        hasFallen: false,
      },
      events: (state) => [
        { kind: 'advance' },
        ...(state.era < LAST_ERA ? [{ kind: 'restore' as const }] : []),
        ...ACTORS.flatMap((actor): Event[] => {
          const own = state.actors[actor]!;
          return [
            ...(own.knownEra < state.era ? [{ kind: 'learn' as const, actor }] : []),
            ...(canAcquire(state, own) ? [{ kind: 'acquire' as const, actor }] : []),
            ...(own.left > 0
              ? [
                  { kind: 'renew' as const, actor },
                  { kind: 'send' as const, actor },
                ]
              : []),
          ];
        }),
      ],
      next(state, event) {
        switch (event.kind) {
          case 'advance':
            return {
              ...state,
              stored: state.stored && {
                ...state.stored,
                age: Math.min(WAIT, state.stored.age + 1),
              },
              actors: state.actors.map((actor) => ({
                ...actor,
                left: Math.max(0, actor.left - 1),
                settled: Math.min(WAIT, actor.settled + 1),
              })),
            };
          case 'restore':
            return { ...state, era: state.era + 1, stored: undefined };
          case 'learn':
            return learn(state, event.actor);
          case 'acquire':
            return acquire(state, event.actor);
          case 'renew':
            return renew(state, event.actor);
          case 'send': {
            const { token } = state.actors[event.actor]!;
            return {
              ...state,
              highest: Math.max(state.highest, token),
              hasFallen: state.hasFallen || token < state.highest,
            };
          }
          default:
            return event satisfies never;
        }
      },
      invariants: [
        {
          name: 'one-duty-holder-at-a-time',
          holds: ({ actors }) => actors.filter(({ left }) => left > 0).length <= 1,
        },
        { name: 'duty-token-never-falls', holds: ({ hasFallen }) => !hasFallen },
      ],
    };
  },
});

export default dutyLeaseModel;
