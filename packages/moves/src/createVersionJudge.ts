import type { Milliseconds } from '@rattanreel/core';
import type { VersionEvidence } from '@rattanreel/scheduling';
import createTimeNormaliser from './createTimeNormaliser';
import createUnitJudge from './createUnitJudge';
import multiplyWealth from './multiplyWealth';
import shareFalseAlarm from './shareFalseAlarm';
import tryGetGround from './tryGetGround';
import type {
  BadnessGround,
  JudgedBadness,
  JudgedUnit,
  JudgePolicy,
  UnitEvidence,
  UnitJudge,
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
  expectedUnits: 20,
};
/** Power of the final threshold at which a version counts as suspicious. */
const SUSPICION_EXPONENT = 0.6;

function makeBadness(unit: JudgedUnit, ground: BadnessGround, where: string): JudgedBadness {
  const route = unit.route ?? '*';
  const detail = `${ground} beyond tolerance ${where}, ${unit.tier === undefined ? 'over all tiers' : 'on one tier'}`;
  return { ground, route, tier: unit.tier ?? 0, detail };
}

/**
 * Judges a new version against the old one in one failure domain, at the same time: over everything, on each route,
 * and on each route and tier. Every test is valid at any time; see `createSequentialTest`, `createFailureTest` and
 * `createLatencyTest` for the methods. The false alarm over a whole move is bounded by Bonferroni's inequality.
 */
export default function createVersionJudge(options: VersionJudgeOptions): VersionJudge {
  const policy = { ...DEFAULT_POLICY, ...options.policy };
  const { failureDomains } = options;
  const units = new Map<string, UnitJudge>();
  const firstTokens = createTimeNormaliser();
  const timesBetween = createTimeNormaliser();
  let newRequests = 0;
  let isFullShare = false;
  let badness: JudgedBadness | undefined;

  function getUnit(key: string, unit: JudgedUnit): UnitJudge {
    let judge = units.get(key);
    if (judge === undefined) {
      const position = unit.route === undefined ? undefined : units.size - 1;
      const falseAlarm = shareFalseAlarm({ policy, failureDomains, position });
      judge = createUnitJudge({ unit, policy, falseAlarm });
      units.set(key, judge);
    }
    return judge;
  }

  /** The units that a request counts in; the unit of every route comes first. */
  function getUnits({ route, tier }: VersionEvidence): readonly UnitJudge[] {
    return [
      getUnit('', { route: undefined, tier: undefined }),
      getUnit(`route ${route}`, { route, tier: undefined }),
      getUnit(`tier ${tier} route ${route}`, { route, tier }),
    ];
  }

  function normalise(
    normaliser: ReturnType<typeof createTimeNormaliser>,
    evidence: VersionEvidence,
    value: Milliseconds | undefined,
  ): number | undefined {
    if (value === undefined) {
      return undefined;
    }
    const cell = `${evidence.tier} ${evidence.route}`;
    const isNew = evidence.version === options.to;
    const isCold = isNew && newRequests <= policy.warmUpRequests;
    const normalised = isCold
      ? undefined
      : normaliser.tryNormalise(cell, evidence.promptTokens, value);
    if (!isNew) {
      normaliser.learn(cell, evidence.promptTokens, value);
    }
    return normalised;
  }

  function toEvidence(judge: UnitJudge): UnitEvidence {
    const { route, tier } = judge.unit;
    const { failureRate, failureRatio, firstToken, betweenTokens } = judge.wealth();
    return { route, tier, failureRate, failureRatio, firstToken, betweenTokens };
  }

  function observe(evidence: VersionEvidence, now: Milliseconds): JudgedBadness | undefined {
    const isNew = evidence.version === options.to;
    if (badness !== undefined || (!isNew && evidence.version !== options.from)) {
      return badness;
    }
    newRequests += isNew ? 1 : 0;
    const firstToken = normalise(firstTokens, evidence, evidence.firstTokenAfter);
    const betweenTokens = normalise(timesBetween, evidence, evidence.betweenTokens);
    const { failed } = evidence;
    for (const judge of getUnits(evidence)) {
      judge.observe({ isNew, failed, firstToken, betweenTokens, isFullShare }, now);
      const ground = tryGetGround(judge.evidence(), 1 / judge.falseAlarm);
      if (ground !== undefined) {
        badness ??= makeBadness(judge.unit, ground, 'in this failure domain');
      }
    }
    return badness;
  }

  return {
    observe,
    judgeTogether(others) {
      for (const judge of units.values()) {
        const product = multiplyWealth(toEvidence(judge), others);
        const ground = tryGetGround(product, 1 / judge.falseAlarm);
        if (ground !== undefined) {
          badness ??= makeBadness(judge.unit, ground, 'in all failure domains together');
        }
      }
      return badness;
    },
    beginStep(share) {
      isFullShare = share >= 1;
      units.forEach((judge) => judge.beginStep());
    },
    isSuspicious: () =>
      [...units.values()].some(
        (judge) =>
          tryGetGround(judge.evidence(), judge.falseAlarm ** -SUSPICION_EXPONENT) !== undefined,
      ),
    cells: () =>
      [...units.values()].flatMap((judge) => {
        const { route, tier } = judge.unit;
        return route === undefined || tier === undefined
          ? []
          : [{ route, tier, newRequests: judge.newRequests(), oldRequests: judge.oldRequests() }];
      }),
    units: () => [...units.values()].map(toEvidence),
  };
}
