import createArmBalance from './createArmBalance';
import createFailureTest from './createFailureTest';
import createLatencyTest from './createLatencyTest';
import type { JudgedUnit, JudgePolicy, UnitJudge } from './types';

interface UnitJudgeOptions {
  readonly unit: JudgedUnit;
  readonly policy: JudgePolicy;
  /** Probability of a false alarm that one ground may spend here. */
  readonly falseAlarm: number;
}

/** Keeps the tests of one unit. */
export default function createUnitJudge(options: UnitJudgeOptions): UnitJudge {
  const { policy, unit, falseAlarm } = options;
  const balance = createArmBalance();
  const failures = createFailureTest({
    toleratedRate: policy.toleratedFailureRate,
    toleratedRatio: policy.toleratedFailureRatio,
  });
  const firstToken = createLatencyTest(policy.toleratedFirstTokenRatio);
  const betweenTokens = createLatencyTest(policy.toleratedBetweenTokensRatio);
  let newRequests = 0;
  let oldRequests = 0;

  return {
    unit,
    falseAlarm,
    observe(observation, now) {
      const { isNew, failed, isFullShare } = observation;
      failures.observe({ isNew, failed, newPart: balance.newPart(), isFullShare });
      if (observation.firstToken !== undefined) {
        firstToken.observe({ isNew, value: observation.firstToken, isFullShare }, now);
      }
      if (observation.betweenTokens !== undefined) {
        betweenTokens.observe({ isNew, value: observation.betweenTokens, isFullShare }, now);
      }
      balance.count(isNew);
      newRequests += isNew ? 1 : 0;
      oldRequests += isNew ? 0 : 1;
    },
    evidence: () => ({
      failureRate: failures.rate.evidence,
      failureRatio: failures.ratio.evidence,
      firstToken: firstToken.test.evidence,
      betweenTokens: betweenTokens.test.evidence,
    }),
    wealth: () => ({
      failureRate: failures.rate.wealth,
      failureRatio: failures.ratio.wealth,
      firstToken: firstToken.test.wealth,
      betweenTokens: betweenTokens.test.wealth,
    }),
    newRequests: () => newRequests,
    oldRequests: () => oldRequests,
    beginStep() {
      newRequests = 0;
      oldRequests = 0;
    },
  };
}
