import type { FailureDomainId } from '@rattanreel/core';
import { match } from 'ts-pattern';
import createFollowedMove from './createFollowedMove';
import createRecordWriter from './createRecordWriter';
import createReportCache from './createReportCache';
import createReportPacer from './createReportPacer';
import getMovePolicy from './getMovePolicy';
import getMoveIdentity from './getMoveIdentity';
import isSameMove from './isSameMove';
import type {
  FollowedMove,
  MoveChange,
  MoveGuard,
  MoveGuardEffect,
  MoveGuardMessage,
  MoveGuardOptions,
  MoveRecord,
  MoveVeto,
  StoredMove,
} from './types';

/** Maximum number of vetoes kept for moves whose record has not been seen. */
const MAXIMUM_EARLY_VETOES = 16;

/** Creates the guard of a pool's moves in one failure domain; see `MoveGuard`. */
export default function createMoveGuard(options: MoveGuardOptions): MoveGuard {
  const policy = getMovePolicy(options.policy);
  const { failureDomain, failureDomains } = options;
  const others: readonly FailureDomainId[] = failureDomains.filter(
    (other) => other !== failureDomain,
  );
  const writer = createRecordWriter();
  const reports = createReportCache(policy.reportLifetime);
  const reportPacer = createReportPacer(policy);
  let earlyVetoes: readonly MoveVeto[] = [];
  let followed: FollowedMove | undefined;
  let settlesAt: number | undefined;

  function decide(record: MoveRecord): MoveChange | undefined {
    return followed?.decideChange(record);
  }

  function applyRecord({ record }: StoredMove, now: number): readonly MoveGuardEffect[] {
    if (followed !== undefined && isSameMove(followed.record(), record)) {
      return followed.updateRecord(record, now);
    }
    const move = createFollowedMove({
      record,
      failureDomain,
      failureDomains: failureDomains.length,
      policy,
      now,
      settlesAt: settlesAt ?? now,
    });
    followed = move;
    reports.clear();
    const vetoesOfMove = earlyVetoes.filter((veto) => isSameMove(veto.move, record));
    return [
      ...vetoesOfMove.flatMap((veto) => move.applyVeto(veto, now)),
      ...move.refreshShares(now),
    ];
  }

  function handleVeto(veto: MoveVeto, now: number): readonly MoveGuardEffect[] {
    if (followed === undefined || !isSameMove(followed.record(), veto.move)) {
      earlyVetoes = [...earlyVetoes, veto].slice(-MAXIMUM_EARLY_VETOES);
      return [];
    }
    return followed.record().verdict === 'underWay' ? followed.applyVeto(veto, now) : [];
  }

  function stepLocally(move: FollowedMove, now: number): readonly MoveGuardEffect[] {
    const freshReports = reports.tryGetFreshReports(getMoveIdentity(move.record()), others, now);
    return freshReports === undefined ? [] : move.stepLocally(freshReports, now);
  }

  function announce(move: FollowedMove, now: number): readonly MoveGuardEffect[] {
    if (!reportPacer.isDue(now) || move.record().verdict !== 'underWay') {
      return [];
    }
    const veto = move.veto();
    return [
      { kind: 'announceReport', report: reportPacer.prepareReport(move.createReport(), now) },
      ...(veto === undefined ? [] : [{ kind: 'announceVeto' as const, veto }]),
    ];
  }

  function handleTimePassed(now: number): readonly MoveGuardEffect[] {
    return followed === undefined
      ? []
      : [...followed.refreshShares(now), ...stepLocally(followed, now), ...announce(followed, now)];
  }

  function handleMessage(message: MoveGuardMessage, now: number): readonly MoveGuardEffect[] {
    return match(message)
      .with({ kind: 'versionEvidence' }, (evidence) => followed?.observe(evidence, now) ?? [])
      .with({ kind: 'timePassed' }, () => handleTimePassed(now))
      .with({ kind: 'recordSeen' }, ({ stored }) =>
        writer.applyIfNewer(stored) ? applyRecord(stored, now) : [],
      )
      .with({ kind: 'recordAnswered' }, ({ answer }) => {
        const stored = writer.handleAnswer(answer, now) ? writer.stored() : undefined;
        return stored === undefined ? [] : applyRecord(stored, now);
      })
      .with({ kind: 'vetoHeard' }, ({ veto }) => handleVeto(veto, now))
      .with({ kind: 'reportHeard' }, ({ report }) => {
        reports.add(report, now);
        return [];
      })
      .with({ kind: 'cancelRequested' }, (request) =>
        followed !== undefined && isSameMove(followed.record(), request.move)
          ? followed.cancel(request, now)
          : [],
      )
      .with({ kind: 'oldTrafficCounted' }, { kind: 'capacityCounted' }, (counted) => {
        followed?.updateCounts(counted);
        return [];
      })
      .exhaustive();
  }

  return {
    handle(message, now) {
      settlesAt ??= now + policy.settleTime;
      const effects = handleMessage(message, now);
      // Evidence arrives with every request; the record can only need a write if the evidence had an effect.
      return message.kind === 'versionEvidence' && effects.length === 0
        ? effects
        : [...effects, ...writer.advanceTowards(decide, now)];
    },
    shares: () => followed?.shares(),
  };
}
