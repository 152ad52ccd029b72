import { changeMoveRecord, getSharesInForce } from '@rattanreel/moves';
import type { MoveChange, MoveRecord, MoveVerdict } from '@rattanreel/moves';
import defineModel from '../defineModel';

const VERSION_LIMIT = 5;
const WRITE_LIMIT = 1;
const LAST_STEP = 0;

type Fields = Pick<MoveRecord, 'step' | 'verdict' | 'fullShareAt' | 'controllerGeneration'>;

interface Stored {
  readonly version: number;
  readonly fields: Fields;
}

/** A write in flight: it may take effect now, later or never. */
interface Write {
  readonly actor: number;
  readonly version: number;
  readonly fields: Fields;
}

interface Domain {
  readonly fields: Fields;
  readonly version: number;
  readonly vetoed: boolean;
  readonly share: number;
  /** Whether the domain has had the full share in force. */
  readonly confirmed: boolean;
  /** Whether the domain has known of its veto, or of a rollback or cancellation of the move. */
  readonly knewBad: boolean;
}

interface State {
  readonly stored: Stored;
  /** Record that each controller read last; a failure domain changes the record that it follows. */
  readonly seen: readonly Stored[];
  readonly writes: readonly Write[];
  readonly domains: readonly Domain[];
  /** First final verdict that the store held. */
  readonly firstVerdict: MoveVerdict | undefined;
  readonly highestController: number;
}

type Event =
  | { readonly kind: 'read'; readonly actor: number }
  | { readonly kind: 'write'; readonly actor: number; readonly change: MoveChange['kind'] }
  | { readonly kind: 'land'; readonly write: number }
  | { readonly kind: 'lose'; readonly write: number }
  | { readonly kind: 'veto'; readonly domain: number }
  | { readonly kind: 'follow'; readonly domain: number };

const CONTROLLERS = [0, 1];
const DOMAINS = [0, 1];
const FIRST_DOMAIN_ACTOR = CONTROLLERS.length;
const ACTORS = [...CONTROLLERS, ...DOMAINS.map((domain) => domain + FIRST_DOMAIN_ACTOR)];

const REASON = { ground: 'errors', route: '', tier: 0, failureDomain: '', detail: '' } as const;

const BASE_RECORD = {
  kind: 'move',
  pool: 'pool',
  from: 'old',
  to: 'new',
  startedAt: 0,
  deadline: 1,
  bakeTime: 0,
  steps: [{ share: 1, notBefore: 0 }],
  preAuthorisedThrough: -1,
  generation: 1,
  takenBackBecause: undefined,
  late: false,
} as const;

function toRecord(fields: Fields): MoveRecord {
  return { ...BASE_RECORD, ...fields };
}

function toFields(record: MoveRecord): Fields {
  const { step, verdict, fullShareAt, controllerGeneration } = record;
  return { step, verdict, fullShareAt, controllerGeneration };
}

/** Returns the record as the actor knows it, which may be stale. */
function getSeen({ seen, domains }: State, actor: number): Stored {
  return actor < FIRST_DOMAIN_ACTOR ? seen[actor]! : domains[actor - FIRST_DOMAIN_ACTOR]!;
}

function toChange(kind: MoveChange['kind'], actor: number, step: number): MoveChange {
  const controllerGeneration = actor + 1;
  switch (kind) {
    case 'step':
      return { kind, step: step + 1, controllerGeneration };
    case 'fullShare':
      return { kind, at: 0, controllerGeneration };
    case 'takeBack':
      return { kind, reason: REASON };
    case 'cancel':
      return { kind };
    case 'late':
    case 'done':
      return { kind, controllerGeneration };
    default:
      return kind satisfies never;
  }
}

function replaceAt<Item>(items: readonly Item[], index: number, item: Item): readonly Item[] {
  return items.map((old, position) => (position === index ? item : old));
}

function share(domain: Domain, hasGuard: (guard: string) => boolean): number {
  const vetoed = domain.vetoed && hasGuard('local-veto');
  const shares = getSharesInForce({ record: toRecord(domain.fields), vetoed });
  return shares.find(({ version }) => version === 'new')?.share ?? 0;
}

function updateDomain(domain: Domain, hasGuard: (guard: string) => boolean): Domain {
  const activeShare = share(domain, hasGuard);
  const isBad = domain.fields.verdict === 'takenBack' || domain.fields.verdict === 'cancelled';
  return {
    ...domain,
    share: activeShare,
    confirmed: domain.confirmed || activeShare === 1,
    knewBad: domain.knewBad || domain.vetoed || isBad,
  };
}

/**
 * Model of two controllers, one of them with an older lease, and two failure domains that change
 * the record of one move.
 */
const moveVerdictModel = defineModel<State, Event>({
  name: 'move-verdict',
  bounds: '2 controllers, 2 failure domains, 1 step, 4 changes, 1 write on its way at a time',
  guards: [
    { name: 'final-verdict', invariant: 'final-verdict-stands' },
    { name: 'move-conditional-update', invariant: 'controller-generation-never-falls' },
    { name: 'controller-generation', invariant: 'controller-generation-never-falls' },
    { name: 'local-veto', invariant: 'share-stays-down' },
    { name: 'confirmation', invariant: 'done-only-when-confirmed' },
  ],
  create(hasGuard) {
    const first: Stored = {
      version: 1,
      fields: {
        step: -1,
        verdict: 'underWay',
        fullShareAt: undefined,
        controllerGeneration: undefined,
      },
    };
    const domain: Domain = {
      ...first,
      vetoed: false,
      share: 0,
      confirmed: false,
      knewBad: false,
    };

    function change(fields: Fields, actor: number, kind: MoveChange['kind']): Fields | undefined {
      const verdict = hasGuard('final-verdict') ? fields.verdict : 'underWay';
      const known = hasGuard('controller-generation') ? fields.controllerGeneration : undefined;
      const record = toRecord({ ...fields, verdict, controllerGeneration: known });
      const changed = changeMoveRecord(record, toChange(kind, actor, fields.step));
      return changed.kind === 'ok' ? toFields(changed.value) : undefined;
    }

    function isConfirmed({ domains }: State, step: number): boolean {
      return (
        !hasGuard('confirmation') ||
        domains.every(({ fields, vetoed }) => !vetoed && fields.step === step)
      );
    }

    function listChanges(state: State, actor: number): readonly MoveChange['kind'][] {
      const { fields } = getSeen(state, actor);
      if (actor >= FIRST_DOMAIN_ACTOR) {
        // Only the first failure domain receives the operator's cancellation.
        const restriction = actor === FIRST_DOMAIN_ACTOR ? 'cancel' : 'takeBack';
        return state.domains[actor - FIRST_DOMAIN_ACTOR]!.vetoed ? [restriction] : [];
      }
      if (!isConfirmed(state, fields.step)) {
        return state.domains.some(({ vetoed }) => vetoed) ? ['takeBack'] : [];
      }
      if (fields.step < LAST_STEP) {
        return ['step'];
      }
      return fields.fullShareAt === undefined ? ['fullShare'] : ['done'];
    }

    function applyWrite(state: State, event: Extract<Event, { kind: 'land' }>): State {
      const write = state.writes[event.write]!;
      const writes = state.writes.filter((_, index) => index !== event.write);
      const isCurrent =
        !hasGuard('move-conditional-update') || write.version === state.stored.version;
      const stored = isCurrent
        ? { version: state.stored.version + 1, fields: write.fields }
        : state.stored;
      const { verdict, controllerGeneration } = stored.fields;
      return {
        ...state,
        stored,
        writes,
        firstVerdict: state.firstVerdict ?? (verdict === 'underWay' ? undefined : verdict),
        highestController: Math.max(state.highestController, controllerGeneration ?? 0),
      };
    }

    return {
      initial: {
        stored: first,
        seen: CONTROLLERS.map(() => first),
        writes: [],
        domains: DOMAINS.map(() => domain),
        firstVerdict: undefined,
        highestController: 0,
      },
      events(state) {
        const canWrite = state.writes.length < WRITE_LIMIT && state.stored.version < VERSION_LIMIT;
        return [
          ...CONTROLLERS.filter((actor) => state.seen[actor]!.version < state.stored.version).map(
            (actor) => ({ kind: 'read' as const, actor }),
          ),
          ...ACTORS.flatMap((actor) =>
            canWrite
              ? listChanges(state, actor)
                  .filter((kind) => change(getSeen(state, actor).fields, actor, kind) !== undefined)
                  .map((kind) => ({ kind: 'write' as const, actor, change: kind }))
              : [],
          ),
          ...state.writes.flatMap((_, write) => [
            { kind: 'land' as const, write },
            { kind: 'lose' as const, write },
          ]),
          ...DOMAINS.flatMap((index) => [
            ...(state.domains[index]!.vetoed ? [] : [{ kind: 'veto' as const, domain: index }]),
            ...(state.domains[index]!.version < state.stored.version
              ? [{ kind: 'follow' as const, domain: index }]
              : []),
          ]),
        ];
      },
      next(state, event) {
        switch (event.kind) {
          case 'read':
            return { ...state, seen: replaceAt(state.seen, event.actor, state.stored) };
          case 'write': {
            const { version, fields } = getSeen(state, event.actor);
            const changed = change(fields, event.actor, event.change)!;
            const write = { actor: event.actor, version, fields: changed };
            return { ...state, writes: [...state.writes, write] };
          }
          case 'land':
            return applyWrite(state, event);
          case 'lose':
            return { ...state, writes: state.writes.filter((_, index) => index !== event.write) };
          case 'veto': {
            const vetoed = { ...state.domains[event.domain]!, vetoed: true };
            const updated = updateDomain(vetoed, hasGuard);
            return { ...state, domains: replaceAt(state.domains, event.domain, updated) };
          }
          case 'follow': {
            const followed = { ...state.domains[event.domain]!, ...state.stored };
            const updated = updateDomain(followed, hasGuard);
            return { ...state, domains: replaceAt(state.domains, event.domain, updated) };
          }
          default:
            return event satisfies never;
        }
      },
      invariants: [
        {
          name: 'final-verdict-stands',
          holds: ({ stored, firstVerdict }) =>
            firstVerdict === undefined || stored.fields.verdict === firstVerdict,
        },
        {
          name: 'controller-generation-never-falls',
          holds: ({ stored, highestController }) =>
            (stored.fields.controllerGeneration ?? 0) >= highestController,
        },
        {
          name: 'share-stays-down',
          holds: ({ domains }) => domains.every(({ knewBad, share: got }) => !knewBad || got === 0),
        },
        {
          name: 'done-only-when-confirmed',
          holds: ({ stored, domains }) =>
            stored.fields.verdict !== 'done' || domains.every(({ confirmed }) => confirmed),
        },
      ],
    };
  },
});

export default moveVerdictModel;
