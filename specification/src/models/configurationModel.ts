import defineModel from '../defineModel';

const GENERATION_LIMIT = 3;

/** An accepted configuration: its generation and the change that created it. */
interface Accepted {
  readonly generation: number;
  readonly change: number;
}

/** A write in flight: it may take effect now, later or never. */
interface Write extends Accepted {
  readonly onTopOf: number;
}

interface Operator {
  readonly state: 'idle' | 'writing' | 'accepted' | 'conflict';
  readonly write: Write | undefined;
}

interface Host {
  readonly inForce: Accepted;
  readonly highest: number;
}

interface State {
  readonly stored: Accepted;
  /** All configurations that the store has held, in the order in which their writes took effect. */
  readonly history: readonly Accepted[];
  readonly operators: readonly Operator[];
  readonly hosts: readonly Host[];
}

type Event =
  | { readonly kind: 'write'; readonly operator: number }
  | { readonly kind: 'land'; readonly operator: number }
  | { readonly kind: 'lose'; readonly operator: number }
  | { readonly kind: 'settle'; readonly operator: number }
  | { readonly kind: 'offer'; readonly host: number; readonly accepted: Accepted };

const OPERATORS = [0, 1];
const HOSTS = [0, 1, 2];
const INITIAL_CONFIGURATION: Accepted = { generation: 1, change: 0 };

function replaceAt<Item>(items: readonly Item[], index: number, item: Item): readonly Item[] {
  return items.map((old, position) => (position === index ? item : old));
}

function isSame(left: Accepted, right: Accepted): boolean {
  return left.generation === right.generation && left.change === right.change;
}

/**
 * Model of two operators that race for generations, and of hosts that receive configurations from
 * the store, which may lag, and from peers.
 */
const configurationModel = defineModel<State, Event>({
  name: 'configuration',
  bounds: '2 operators with 1 change each, 3 hosts, 3 generations, offers late and in any order',
  guards: [
    { name: 'configuration-conditional-update', invariant: 'one-change-per-generation' },
    { name: 'generation-check', invariant: 'never-reverts' },
    { name: 'change-id-check', invariant: 'accepted-is-kept' },
  ],
  create(hasGuard) {
    function applyWrite(state: State, operator: number): State {
      const { write } = state.operators[operator]!;
      const { onTopOf, ...accepted } = write!;
      const own = { ...state.operators[operator]!, write: undefined };
      const operators = replaceAt(state.operators, operator, own);
      const isCurrent =
        !hasGuard('configuration-conditional-update') || state.stored.generation === onTopOf;
      return isCurrent
        ? { ...state, operators, stored: accepted, history: [...state.history, accepted] }
        : { ...state, operators };
    }

    /** Sets the result that an operator is given once the outcome of its write is known. */
    function resolveWrite(state: State, operator: number): State {
      const isOwn = state.history.some(
        ({ change }) => change === operator + 1 || (!hasGuard('change-id-check') && change !== 0),
      );
      const resolved = { state: isOwn ? ('accepted' as const) : ('conflict' as const) };
      const own = { ...state.operators[operator]!, ...resolved };
      return { ...state, operators: replaceAt(state.operators, operator, own) };
    }

    function applyOffer(state: State, index: number, accepted: Accepted): State {
      const host = state.hosts[index]!;
      const isLater =
        accepted.generation > host.inForce.generation || !hasGuard('generation-check');
      const highest = Math.max(host.highest, accepted.generation);
      const updated = { inForce: accepted, highest };
      return isLater ? { ...state, hosts: replaceAt(state.hosts, index, updated) } : state;
    }

    function listOperatorEvents(state: State, operator: number): readonly Event[] {
      const own = state.operators[operator]!;
      const canWrite = own.state === 'idle' && state.stored.generation < GENERATION_LIMIT;
      return [
        ...(canWrite ? [{ kind: 'write' as const, operator }] : []),
        ...(own.write === undefined
          ? []
          : [
              { kind: 'land' as const, operator },
              { kind: 'lose' as const, operator },
            ]),
        ...(own.state === 'writing' && own.write === undefined
          ? [{ kind: 'settle' as const, operator }]
          : []),
      ];
    }

    return {
      initial: {
        stored: INITIAL_CONFIGURATION,
        history: [INITIAL_CONFIGURATION],
        operators: OPERATORS.map(() => ({ state: 'idle' as const, write: undefined })),
        hosts: HOSTS.map(() => ({ inForce: INITIAL_CONFIGURATION, highest: 1 })),
      },
      events: (state) => [
        ...OPERATORS.flatMap((operator) => listOperatorEvents(state, operator)),
        // A lagging store or relay may offer any configuration that has ever been accepted.
        ...HOSTS.flatMap((host) =>
          state.history
            .filter((accepted) => !isSame(accepted, state.hosts[host]!.inForce))
            .map((accepted) => ({ kind: 'offer' as const, host, accepted })),
        ),
      ],
      next(state, event) {
        switch (event.kind) {
          case 'write': {
            const { generation } = state.stored;
            const write = {
              generation: generation + 1,
              change: event.operator + 1,
              onTopOf: generation,
            };
            const own = { state: 'writing' as const, write };
            return { ...state, operators: replaceAt(state.operators, event.operator, own) };
          }
          case 'land':
            return applyWrite(state, event.operator);
          case 'lose': {
            const own = { ...state.operators[event.operator]!, write: undefined };
            return { ...state, operators: replaceAt(state.operators, event.operator, own) };
          }
          case 'settle':
            return resolveWrite(state, event.operator);
          case 'offer':
            return applyOffer(state, event.host, event.accepted);
          default:
            return event satisfies never;
        }
      },
      invariants: [
        {
          name: 'one-change-per-generation',
          holds: ({ history }) =>
            new Set(history.map(({ generation }) => generation)).size === history.length,
        },
        {
          name: 'never-reverts',
          holds: ({ hosts }) =>
            hosts.every(({ inForce, highest }) => inForce.generation === highest),
        },
        {
          name: 'accepted-is-kept',
          holds: ({ history, operators }) =>
            operators.every(
              ({ state }, operator) =>
                state !== 'accepted' || history.some(({ change }) => change === operator + 1),
            ),
        },
      ],
    };
  },
});

export default configurationModel;
