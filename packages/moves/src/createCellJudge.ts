import type { Milliseconds, TierRank } from '@rattanreel/core';
import type { VersionEvidence } from '@rattanreel/scheduling';
import createArmBalance from './createArmBalance';
import createFailureTest from './createFailureTest';
import createLatencyPairing from './createLatencyPairing';
import createSequentialTest from './createSequentialTest';
import type { BadnessGround, CellEvidence, JudgePolicy, SequentialTest } from './types';

const LATENCY_ALTERNATIVES = 3;
/** Power of the final threshold at which a version counts as suspicious. */
const SUSPICION_EXPONENT = 0.6;

interface CellJudgeOptions {
  readonly route: string;
  readonly tier: TierRank;
  readonly policy: JudgePolicy;
  /** Probability of a false alarm that each ground's test here may spend. */
  readonly falseAlarm: number;
}

interface CellObservation {
  readonly evidence: VersionEvidence;
  readonly isNew: boolean;
  /** False while the new version's engines are cold. */
  readonly timesCount: boolean;
}

/** Factors of the bets that one observation settled, for the test over all cells. */
interface LatencyFactors {
  readonly firstToken: readonly (readonly number[])[];
  readonly betweenTokens: readonly (readonly number[])[];
}

interface CellJudge {
  observe(observation: CellObservation, now: Milliseconds): LatencyFactors;
  tryGetGround(): BadnessGround | undefined;
  isSuspicious(): boolean;
  beginStep(): void;
  counts(): CellEvidence;
}

/** Judges one route and tier. */
export default function createCellJudge(options: CellJudgeOptions): CellJudge {
  const { policy, falseAlarm } = options;
  const balance = createArmBalance();
  const failures = createFailureTest({
    toleratedRate: policy.toleratedFailureRate,
    toleratedRatio: policy.toleratedFailureRatio,
  });
  const firstTokenPairing = createLatencyPairing(policy.toleratedFirstTokenRatio);
  const betweenTokensPairing = createLatencyPairing(policy.toleratedBetweenTokensRatio);
  const firstToken = createSequentialTest(LATENCY_ALTERNATIVES);
  const betweenTokens = createSequentialTest(LATENCY_ALTERNATIVES);
  let newRequests = 0;
  let oldRequests = 0;

  function observeTime(
    pairing: ReturnType<typeof createLatencyPairing>,
    test: SequentialTest,
    value: Milliseconds | undefined,
    { evidence, isNew, timesCount }: CellObservation,
    now: Milliseconds,
  ): readonly (readonly number[])[] {
    if (value === undefined || !timesCount) {
      return [];
    }
    const length = evidence.promptTokens;
    const hasOldTraffic = balance.hasOldTraffic();
    const settled = pairing.observe({ isNew, value, length, hasOldTraffic }, now);
    settled.forEach((factors) => test.update(factors));
    return settled;
  }

  function evidenceFor(): readonly (readonly [BadnessGround, number])[] {
    return [
      ['errors', failures.evidence()],
      ['slowFirstToken', firstToken.evidence],
      ['slowBetweenTokens', betweenTokens.evidence],
    ];
  }

  return {
    observe(observation, now) {
      const { evidence, isNew } = observation;
      failures.observe({
        isNew,
        failed: evidence.failed,
        newPart: balance.newPart(),
        hasOldTraffic: balance.hasOldTraffic(),
      });
      const times = {
        firstToken: observeTime(
          firstTokenPairing,
          firstToken,
          evidence.firstTokenAfter,
          observation,
          now,
        ),
        betweenTokens: observeTime(
          betweenTokensPairing,
          betweenTokens,
          evidence.betweenTokens,
          observation,
          now,
        ),
      };
      balance.count(isNew);
      newRequests += isNew ? 1 : 0;
      oldRequests += isNew ? 0 : 1;
      return times;
    },
    tryGetGround: () => evidenceFor().find(([, value]) => value * falseAlarm >= 1)?.[0],
    isSuspicious: () =>
      evidenceFor().some(([, value]) => value * falseAlarm ** SUSPICION_EXPONENT >= 1),
    beginStep() {
      newRequests = 0;
      oldRequests = 0;
    },
    counts: () => ({ route: options.route, tier: options.tier, newRequests, oldRequests }),
  };
}
