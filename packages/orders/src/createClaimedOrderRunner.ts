import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { StoredObject } from '@rattanreel/platform';
import createClaimResolver from './createClaimResolver';
import createClaimWriter from './createClaimWriter';
import createOutcomeRecorder from './createOutcomeRecorder';
import surveyPeers from './surveyPeers';
import toResult from './toResult';
import type {
  AttemptRegistry,
  ClaimDecision,
  ClaimRecord,
  OrderDecision,
  OrderExecutorOptions,
  OrderEntry,
  OrderRequest,
  OrderResult,
} from './types';

const DEFAULT_RETENTION: Milliseconds = 24 * 3_600_000;
const DEFAULT_CLAIM_DEADLINE: Milliseconds = 4_000;
const DEFAULT_DISPATCH_WINDOW: Milliseconds = 30_000;
/**
 * Maximum number of writes of the claim in one attempt at the order; a write that another attempt has superseded makes
 * the next one necessary.
 */
const MAXIMUM_CLAIM_ROUNDS = 6;

interface ClaimedOrderRunnerOptions extends OrderExecutorOptions {
  readonly attempts: AttemptRegistry;
}

interface ClaimedOrderRunner {
  /** Claims an order, then dispatches it or finds out how it ended elsewhere. */
  run(entry: OrderEntry, order: OrderRequest): Promise<OrderResult>;
  flush(deadline: Milliseconds): Promise<void>;
}

/** Runs orders that are claimed in the store before they are dispatched. */
export default function createClaimedOrderRunner(
  options: ClaimedOrderRunnerOptions,
): ClaimedOrderRunner {
  const { entryHost, incarnation, store, clock, random, attempts, askOwner } = options;
  const dispatchWindow = options.dispatchWindow ?? DEFAULT_DISPATCH_WINDOW;
  const recorder = createOutcomeRecorder({ store, clock, random });
  const resolveClaim = createClaimResolver(options);
  const writeClaim = createClaimWriter({
    store,
    self: { entryHost, incarnation },
    clock,
    random,
    retention: options.retention ?? DEFAULT_RETENTION,
    deadline: options.claimDeadline ?? DEFAULT_CLAIM_DEADLINE,
  });

  function reportDecision(kind: OrderDecision['kind'], entry: OrderEntry): void {
    options.onDecision?.({ kind, order: entry.name });
  }

  /** Forbids the dispatch under this attempt's nonce; must precede any "not run" result. */
  function giveUp(entry: OrderEntry): void {
    attempts.advance(entry, { kind: 'giveUp' });
    reportDecision('gaveUp', entry);
  }

  async function runClaimed(
    entry: OrderEntry,
    order: OrderRequest,
    claim: StoredObject<ClaimRecord>,
  ): Promise<OrderResult> {
    attempts.advance(entry, { kind: 'claimWritten' });
    const outcome = await attempts.dispatch(entry, order);
    recorder.record(claim, outcome);
    return toResult(outcome);
  }

  /** Leaves the order to a later attempt, because the process was paused while it wrote the claim. */
  function refuseClaimed(entry: OrderEntry, claim: StoredObject<ClaimRecord>): OrderResult {
    giveUp(entry);
    recorder.record(claim, { kind: 'notRun' });
    return toResult({ kind: 'notRun' });
  }

  function finish(
    entry: OrderEntry,
    decision: Extract<ClaimDecision, { kind: 'finish' }>,
  ): OrderResult {
    if (decision.outcome === undefined) {
      giveUp(entry);
    } else {
      attempts.advance(entry, { kind: 'outcomeLearned', outcome: decision.outcome });
      reportDecision('answeredFromClaim', entry);
    }
    return decision.result;
  }

  /** Gives the attempt up, then determines whether the order can have run at all. */
  async function giveUpInDoubt(entry: OrderEntry, order: OrderRequest): Promise<OrderResult> {
    giveUp(entry);
    reportDecision('surveyed', entry);
    const view = options.listPeers?.() ?? { peers: [], isComplete: false };
    const { hasForgotten } = attempts;
    const releasedCount = entry.releasedNonces.length;
    const result = await surveyPeers({ order, view, askOwner, hasForgotten, clock });
    // Meanwhile a later attempt here, or a peer that was allowed to take the claim over, may have run the order.
    const joined = attempts.tryJoin(entry.name, entry.requestDigest);
    if (joined !== undefined) {
      return joined;
    }
    return entry.releasedNonces.length > releasedCount ? toResult({ kind: 'mayHaveRun' }) : result;
  }

  async function run(entry: OrderEntry, order: OrderRequest): Promise<OrderResult> {
    const startedAt = clock.now();
    let version: number | undefined;
    for (let round = 0; round < MAXIMUM_CLAIM_ROUNDS; round += 1) {
      const settled = await writeClaim({ entry, version });
      switch (settled.kind) {
        case 'written':
          return clock.now() - startedAt > dispatchWindow
            ? refuseClaimed(entry, settled.object)
            : runClaimed(entry, order, settled.object);
        case 'notWritten':
        case 'inDoubt':
          return giveUpInDoubt(entry, order);
        case 'superseded':
          break;
        default:
          return Debug.assertNever(settled);
      }
      version = undefined;
      if (settled.current !== undefined) {
        const claim = settled.current as StoredObject<ClaimRecord>;
        const decision = await resolveClaim(entry, order, claim);
        if (decision.kind === 'finish') {
          return finish(entry, decision);
        }
        reportDecision('tookOver', entry);
        version = decision.version;
      }
    }
    return giveUpInDoubt(entry, order);
  }

  return { run, flush: recorder.flush };
}
