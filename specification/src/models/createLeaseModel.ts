import defineModel from '../defineModel';
import type { ModelDefinition } from '../types';

/** Duration of a lease and maximum age of an order, in ticks. */
const DURATION = 20;
/**
 * Wait of a candidate before it takes the lease over and, without a fence, of its new holder before
 * the first order. In ticks of its own clock: 5 % more than the lease, to allow for clock drift.
 */
const DURATION_WITH_DRIFT = 21;
/** Time advances in alternating long and short steps, in ticks. */
const LONG_STEP = 19;
const SHORT_STEP = 1;
const VERSION_LIMIT = 2;

interface Observation {
  readonly version: number;
  /** Ticks of the candidate's own clock since it first saw this version. */
  readonly age: number;
}

interface Actor {
  /** Remaining lease time in ticks of its own clock; 0 if it does not hold the lease. */
  readonly left: number;
  readonly generation: number;
  /** Ticks of its own clock since it acquired the lease. */
  readonly since: number;
  readonly write: { readonly onTopOf: number; readonly age: number } | undefined;
  readonly seen: Observation | undefined;
}

interface Order {
  readonly generation: number;
  readonly age: number;
}

interface State {
  readonly isLongNext: boolean;
  /** Increases with each acquisition; renewals are not modelled, as they only extend a holding. */
  readonly version: number;
  readonly actors: readonly Actor[];
  readonly orders: readonly Order[];
  /** Highest generation of the orders that have taken effect. */
  readonly highest: number;
  readonly olderAfterNewer: boolean;
}

type Event =
  | { readonly kind: 'advance'; readonly ticks: number; readonly fast: number }
  | { readonly kind: 'look' | 'take' | 'land' | 'lose' | 'send'; readonly actor: number }
  | { readonly kind: 'effect'; readonly order: number };

interface LeaseModelOptions {
  readonly name: string;
  /** Whether the engine refuses an order whose generation is older than one it has applied. */
  readonly checksFence: boolean;
}

const ACTORS = [0, 1];
const NO_FAST_CLOCK = -1;
const IDLE_ACTOR: Actor = { left: 0, generation: 0, since: 0, write: undefined, seen: undefined };

function updateActor(state: State, index: number, change: Partial<Actor>): State {
  const actors = state.actors.map((actor, position) =>
    position === index ? { ...actor, ...change } : actor,
  );
  return { ...state, actors };
}

function increaseAge(age: number, ticks: number): number {
  return Math.min(DURATION_WITH_DRIFT, age + ticks);
}

function advanceActor(actor: Actor, ticks: number): Actor {
  const { write, seen } = actor;
  return {
    ...actor,
    left: Math.max(0, actor.left - ticks),
    since: actor.left > 0 && actor.generation > 1 ? increaseAge(actor.since, ticks) : 0,
    write: write && { ...write, age: increaseAge(write.age, ticks) },
    seen: seen && { ...seen, age: increaseAge(seen.age, ticks) },
  };
}

/**
 * Creates the model of two candidates for one lease, either of which may pause at any step, and of
 * the orders that they send to an engine.
 */
export default function createLeaseModel({
  name,
  checksFence,
}: LeaseModelOptions): ModelDefinition {
  const orderGuard = checksFence ? 'fence' : 'longest-order-wait';
  return defineModel<State, Event>({
    name,
    bounds:
      '2 candidates, 2 generations, lease of 20 ticks, long and short steps of time by turns, clocks apart by 1 tick a long step, 1 order of each generation on its way',
    guards: [
      { name: orderGuard, invariant: 'no-older-order-after-newer' },
      ...(checksFence
        ? [
            { name: 'lease-wait', invariant: 'one-holder-at-a-time' },
            { name: 'drift-allowance', invariant: 'one-holder-at-a-time' },
          ]
        : []),
    ],
    create(hasGuard) {
      function advance(state: State, ticks: number, fast: number): State {
        return {
          ...state,
          isLongNext: !state.isLongNext,
          actors: state.actors.map((actor, index) =>
            advanceActor(actor, index === fast && ticks === LONG_STEP ? ticks + 1 : ticks),
          ),
          orders: state.orders
            .map((order) => ({ ...order, age: checksFence ? 0 : order.age + ticks }))
            .filter(({ age }) => age <= DURATION),
        };
      }

      function canAcquire({ version }: State, { left, write, seen }: Actor): boolean {
        if (left > 0 || write !== undefined || version >= VERSION_LIMIT) {
          return false;
        }
        const wait = hasGuard('drift-allowance') ? DURATION_WITH_DRIFT : DURATION;
        const isFree = version === 0;
        const hasWaited = seen?.version === version && seen.age >= wait;
        return isFree || hasWaited || (!hasGuard('lease-wait') && seen?.version === version);
      }

      function applyWrite(state: State, index: number): State {
        const { write } = state.actors[index]!;
        if (write?.onTopOf !== state.version) {
          return updateActor(state, index, { write: undefined });
        }
        const version = state.version + 1;
        const left = Math.max(0, DURATION - write.age);
        const change = { write: undefined, left, generation: version, since: 0, seen: undefined };
        return { ...updateActor(state, index, change), version };
      }

      function canSend({ orders }: State, actor: Actor): boolean {
        const hasWaited =
          checksFence ||
          !hasGuard('longest-order-wait') ||
          actor.generation === 1 ||
          actor.since >= DURATION_WITH_DRIFT;
        const isOnItsWay = orders.some(({ generation }) => generation === actor.generation);
        return actor.left > 0 && !isOnItsWay && hasWaited;
      }

      function applyOrder(state: State, index: number): State {
        const { generation } = state.orders[index]!;
        const orders = state.orders.filter((_, position) => position !== index);
        const isOlder = generation < state.highest;
        if (isOlder && checksFence && hasGuard('fence')) {
          return { ...state, orders };
        }
        const highest = Math.max(state.highest, generation);
        return { ...state, orders, highest, olderAfterNewer: state.olderAfterNewer || isOlder };
      }

      function listActorEvents(state: State, actor: number): readonly Event[] {
        const own = state.actors[actor]!;
        const isUnseenVersion =
          own.left === 0 && state.version > 0 && own.seen?.version !== state.version;
        return [
          ...(isUnseenVersion ? [{ kind: 'look' as const, actor }] : []),
          ...(canAcquire(state, own) ? [{ kind: 'take' as const, actor }] : []),
          ...(own.write === undefined
            ? []
            : [
                { kind: 'land' as const, actor },
                { kind: 'lose' as const, actor },
              ]),
          ...(canSend(state, own) ? [{ kind: 'send' as const, actor }] : []),
        ];
      }

      return {
        initial: {
          isLongNext: true,
          version: 0,
          actors: ACTORS.map(() => IDLE_ACTOR),
          orders: [],
          highest: 0,
          olderAfterNewer: false,
        },
        events: (state) => [
          ...(state.isLongNext ? [NO_FAST_CLOCK, ...ACTORS] : [NO_FAST_CLOCK]).map((fast) => ({
            kind: 'advance' as const,
            ticks: state.isLongNext ? LONG_STEP : SHORT_STEP,
            fast,
          })),
          ...ACTORS.flatMap((actor) => listActorEvents(state, actor)),
          ...state.orders.map((_, order) => ({ kind: 'effect' as const, order })),
        ],
        next(state, event) {
          switch (event.kind) {
            case 'advance':
              return advance(state, event.ticks, event.fast);
            case 'look':
              return updateActor(state, event.actor, { seen: { version: state.version, age: 0 } });
            case 'take':
              return updateActor(state, event.actor, { write: { onTopOf: state.version, age: 0 } });
            case 'land':
              return applyWrite(state, event.actor);
            case 'lose':
              return updateActor(state, event.actor, { write: undefined });
            case 'send': {
              const { generation } = state.actors[event.actor]!;
              return { ...state, orders: [...state.orders, { generation, age: 0 }] };
            }
            case 'effect':
              return applyOrder(state, event.order);
            default:
              return event satisfies never;
          }
        },
        invariants: [
          {
            name: 'no-older-order-after-newer',
            holds: ({ olderAfterNewer }) => !olderAfterNewer,
          },
          ...(checksFence
            ? [
                {
                  name: 'one-holder-at-a-time',
                  holds: ({ actors }: State) => actors.filter(({ left }) => left > 0).length <= 1,
                },
              ]
            : []),
        ],
      };
    },
  });
}
