import type { VersionEvidence } from '@rattanreel/scheduling';
import createArmBalance from './createArmBalance';
import createCellJudge from './createCellJudge';
import createFailureTest from './createFailureTest';
import createSequentialTest from './createSequentialTest';
import shareFalseAlarm from './shareFalseAlarm';
import type {
  BadnessGround,
  JudgedBadness,
  JudgePolicy,
  VersionJudge,
  VersionJudgeOptions,
} from './types';

const DEFAULT_POLICY: JudgePolicy = {
  falseAlarm: 0.01,
  toleratedFailureRate: 0.01,
  toleratedFailureRatio: 1.5,
  toleratedFirstTokenRatio: 1.25,
  toleratedBetweenTokensRatio: 1.2,
  warmUpRequests: 10,
  expectedCells: 16,
};
const LATENCY_ALTERNATIVES = 3;

type CellJudge = ReturnType<typeof createCellJudge>;

/**
 * Judges a new version against the old one in one failure domain, at the same time, on each route and tier and
 * over all of them. Every test is valid at any time; see `createSequentialTest`, `createFailureTest` and
 * `createLatencyPairing` for the methods. The false alarm over a whole move is bounded by Bonferroni's inequality.
 */
export default function createVersionJudge(options: VersionJudgeOptions): VersionJudge {
  const policy = { ...DEFAULT_POLICY, ...options.policy };
  const { failureDomains } = options;
  const cells = new Map<string, CellJudge>();
  const pooledFalseAlarm = shareFalseAlarm({ policy, failureDomains, cell: undefined });
  const pooledBalance = createArmBalance();
  const pooledFailures = createFailureTest({
    toleratedRate: policy.toleratedFailureRate,
    toleratedRatio: policy.toleratedFailureRatio,
  });
  const pooledFirstToken = createSequentialTest(LATENCY_ALTERNATIVES);
  const pooledBetweenTokens = createSequentialTest(LATENCY_ALTERNATIVES);
  let newRequests = 0;
  let badness: JudgedBadness | undefined;

  function getCell({ route, tier }: VersionEvidence): CellJudge {
    const key = `${tier} ${route}`;
    let cell = cells.get(key);
    if (cell === undefined) {
      const falseAlarm = shareFalseAlarm({ policy, failureDomains, cell: cells.size });
      cell = createCellJudge({ route, tier, policy, falseAlarm });
      cells.set(key, cell);
    }
    return cell;
  }

  function tryGetPooledGround(): BadnessGround | undefined {
    if (pooledFailures.evidence() * pooledFalseAlarm >= 1) {
      return 'errors';
    }
    if (pooledFirstToken.evidence * pooledFalseAlarm >= 1) {
      return 'slowFirstToken';
    }
    return pooledBetweenTokens.evidence * pooledFalseAlarm >= 1 ? 'slowBetweenTokens' : undefined;
  }

  function judge(cell: CellJudge, evidence: VersionEvidence): JudgedBadness | undefined {
    const ground = cell.tryGetGround();
    const pooled = ground === undefined ? tryGetPooledGround() : undefined;
    const found = ground ?? pooled;
    if (found === undefined) {
      return undefined;
    }
    const where = ground === undefined ? 'over all routes' : 'on this route and tier';
    const detail = `${found} beyond tolerance ${where} after ${newRequests} requests`;
    return { ground: found, route: evidence.route, tier: evidence.tier, detail };
  }

  return {
    observe(evidence, now) {
      const isNew = evidence.version === options.to;
      if (badness !== undefined || (!isNew && evidence.version !== options.from)) {
        return badness;
      }
      newRequests += isNew ? 1 : 0;
      const timesCount = !isNew || newRequests > policy.warmUpRequests;
      const cell = getCell(evidence);
      const times = cell.observe({ evidence, isNew, timesCount }, now);
      times.firstToken.forEach((factors) => pooledFirstToken.update(factors));
      times.betweenTokens.forEach((factors) => pooledBetweenTokens.update(factors));
      pooledFailures.observe({
        isNew,
        failed: evidence.failed,
        newPart: pooledBalance.newPart(),
        hasOldTraffic: pooledBalance.hasOldTraffic(),
      });
      pooledBalance.count(isNew);
      badness = judge(cell, evidence);
      return badness;
    },
    beginStep() {
      cells.forEach((cell) => cell.beginStep());
    },
    isSuspicious: () => [...cells.values()].some((cell) => cell.isSuspicious()),
    cells: () => [...cells.values()].map((cell) => cell.counts()),
  };
}
