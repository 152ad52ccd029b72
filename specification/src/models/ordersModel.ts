import defineModel from '../defineModel';

const VERSION_LIMIT = 4;

/** State of an attempt, as in the order states of the library. */
type AttemptState = 'idle' | 'claiming' | 'claimed' | 'dispatching' | 'givenUp' | 'ran';

interface Claim {
  readonly version: number;
  readonly claimant: number;
  readonly outcome: 'none' | 'answered' | 'notRun';
}

interface Host {
  readonly state: AttemptState;
  readonly alive: boolean;
  /** Version of the claim that the write replaces; 0 creates the claim. */
  readonly replaces: number;
  /** Whether the write may still reach the store, even after the attempt has ended. */
  readonly writeUnderWay: boolean;
  /** Whether the host has reported to a caller that its attempt did not run the order. */
  readonly saidNotRun: boolean;
  /** Outcome that the host returned as the recorded one. */
  readonly gave: 'none' | 'answered' | 'wrong';
}

interface State {
  readonly claim: Claim | undefined;
  readonly hosts: readonly Host[];
  readonly dispatches: number;
  /** Whether an attempt was dispatched after its host had reported it as not run. */
  readonly falseNotRun: boolean;
}

type Event =
  | { readonly kind: 'submit'; readonly host: number }
  | { readonly kind: 'landClaim'; readonly host: number }
  | { readonly kind: 'loseClaim'; readonly host: number }
  | { readonly kind: 'learnClaim'; readonly host: number }
  | { readonly kind: 'giveUp'; readonly host: number }
  | { readonly kind: 'dispatch'; readonly host: number }
  | { readonly kind: 'end'; readonly host: number }
  | { readonly kind: 'record'; readonly host: number }
  | { readonly kind: 'follow'; readonly host: number }
  | { readonly kind: 'die'; readonly host: number };

const HOSTS = [0, 1, 2];

const IDLE_HOST: Host = {
  state: 'idle',
  alive: true,
  replaces: 0,
  writeUnderWay: false,
  saidNotRun: false,
  gave: 'none',
};

function updateHost(state: State, index: number, change: Partial<Host>): State {
  const hosts = state.hosts.map((host, position) =>
    position === index ? { ...host, ...change } : host,
  );
  return { ...state, hosts };
}

/**
 * Model of one keyed order, submitted to three entry hosts that claim it in the store before
 * dispatch.
 */
const ordersModel = defineModel<State, Event>({
  name: 'orders',
  bounds: '1 order, 3 entry hosts with 1 attempt each, 4 versions of the claim, any host may die',
  guards: [
    { name: 'create-if-absent', invariant: 'dispatched-at-most-once' },
    { name: 'nonce-check', invariant: 'dispatched-at-most-once' },
    { name: 'one-way-dispatch', invariant: 'not-run-stays-true' },
    { name: 'claimant-gone', invariant: 'dispatched-at-most-once' },
    { name: 'recorded-outcome', invariant: 'recorded-outcome-given-again' },
  ],
  create(hasGuard) {
    function isCurrent({ claim }: State, { replaces }: Host): boolean {
      return !hasGuard('create-if-absent') || (claim?.version ?? 0) === replaces;
    }

    /**
     * Returns whether the attempt takes the claim for its own; a nonce distinguishes the claims.
     */
    function isOwn({ claim }: State, host: number): boolean {
      return claim !== undefined && (claim.claimant === host || !hasGuard('nonce-check'));
    }

    function canTakeOver({ claim, hosts }: State): boolean {
      if (claim === undefined) {
        return false;
      }
      const claimant = hosts[claim.claimant]!;
      const isGivenUp = claimant.alive && claimant.state === 'givenUp';
      const isDead = !claimant.alive && !hasGuard('claimant-gone');
      return claim.outcome === 'notRun' || (claim.outcome === 'none' && (isGivenUp || isDead));
    }

    function readClaim(state: State, host: number): State {
      if (canTakeOver(state)) {
        return updateHost(state, host, { replaces: state.claim!.version, writeUnderWay: true });
      }
      if (state.claim?.outcome === 'answered') {
        const gave = hasGuard('recorded-outcome') ? 'answered' : 'wrong';
        return updateHost(state, host, { state: 'ran', gave });
      }
      return updateHost(state, host, { state: 'givenUp' });
    }

    function listEvents(state: State, host: number): readonly Event['kind'][] {
      const own = state.hosts[host]!;
      const landing: readonly Event['kind'][] = own.writeUnderWay ? ['landClaim', 'loseClaim'] : [];
      if (!own.alive) {
        return landing;
      }
      switch (own.state) {
        case 'idle':
          return ['submit', 'die'];
        case 'claiming':
          return [
            ...landing,
            'giveUp',
            'die',
            ...(isOwn(state, host) ? (['learnClaim'] as const) : []),
            ...(state.claim !== undefined && !isOwn(state, host) && !own.writeUnderWay
              ? (['follow'] as const)
              : []),
          ];
        case 'claimed':
          return [...landing, 'dispatch', 'giveUp', 'die'];
        case 'dispatching':
          return [...landing, 'end', 'die'];
        case 'givenUp':
          return [
            ...landing,
            'die',
            ...(hasGuard('one-way-dispatch') || !isOwn(state, host) ? [] : (['dispatch'] as const)),
            ...(state.claim?.claimant === host && state.claim.outcome === 'none'
              ? (['record'] as const)
              : []),
          ];
        case 'ran':
          return [
            ...landing,
            'die',
            ...(state.claim?.claimant === host && state.claim.outcome === 'none'
              ? (['record'] as const)
              : []),
          ];
        default:
          return own.state satisfies never;
      }
    }

    function applyClaimWrite(state: State, host: number): State {
      const own = state.hosts[host]!;
      const updated = updateHost(state, host, { writeUnderWay: false });
      const version = (state.claim?.version ?? 0) + 1;
      return isCurrent(state, own) && version <= VERSION_LIMIT
        ? { ...updated, claim: { version, claimant: host, outcome: 'none' } }
        : updated;
    }

    return {
      initial: {
        claim: undefined,
        hosts: HOSTS.map(() => IDLE_HOST),
        dispatches: 0,
        falseNotRun: false,
      },
      events: (state) =>
        HOSTS.flatMap((host) => listEvents(state, host).map((kind) => ({ kind, host }))),
      next(state, { kind, host }) {
        const own = state.hosts[host]!;
        switch (kind) {
          case 'submit':
            return updateHost(state, host, { state: 'claiming', writeUnderWay: true });
          case 'landClaim':
            return applyClaimWrite(state, host);
          case 'loseClaim':
            return updateHost(state, host, { writeUnderWay: false });
          case 'learnClaim':
            return updateHost(state, host, { state: 'claimed' });
          case 'giveUp':
            return updateHost(state, host, { state: 'givenUp', saidNotRun: true });
          case 'dispatch': {
            const dispatched = updateHost(state, host, { state: 'dispatching' });
            const falseNotRun = state.falseNotRun || own.saidNotRun;
            return { ...dispatched, dispatches: state.dispatches + 1, falseNotRun };
          }
          case 'end':
            return updateHost(state, host, { state: 'ran' });
          case 'record': {
            const outcome = own.state === 'ran' ? 'answered' : 'notRun';
            const version = state.claim!.version + 1;
            return { ...state, claim: { ...state.claim!, version, outcome } };
          }
          case 'follow':
            return readClaim(state, host);
          case 'die':
            return updateHost(state, host, { alive: false });
          default:
            return kind satisfies never;
        }
      },
      invariants: [
        { name: 'not-run-stays-true', holds: ({ falseNotRun }) => !falseNotRun },
        { name: 'dispatched-at-most-once', holds: ({ dispatches }) => dispatches <= 1 },
        {
          name: 'recorded-outcome-given-again',
          holds: ({ hosts }) => hosts.every(({ gave }) => gave !== 'wrong'),
        },
      ],
    };
  },
});

export default ordersModel;
