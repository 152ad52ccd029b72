import type { FailureDomainId } from '@rattanreel/core';
import { match } from 'ts-pattern';
import createFollowedMove from './createFollowedMove';
import createRecordWriter from './createRecordWriter';
import createReportBook from './createReportBook';
import createReporter from './createReporter';
import getMovePolicy from './getMovePolicy';
import identifyMove from './identifyMove';
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

/** Vetoes that are kept of moves whose record has not been seen. */
const EARLY_VETOES_KEPT = 16;

/** Follows a pool's moves in one failure domain; see `MoveGuard`. */
export default function createMoveGuard(options: MoveGuardOptions): MoveGuard {
  const policy = getMovePolicy(options.policy);
  const { failureDomain, failureDomains } = options;
  const others: readonly FailureDomainId[] = failureDomains.filter(
    (other) => other !== failureDomain,
  );
  const writer = createRecordWriter();
  const reports = createReportBook(policy.reportLifetime);
  const reporter = createReporter(policy);
  let earlyVetoes: readonly MoveVeto[] = [];
  let followed: FollowedMove | undefined;
  let settledAt: number | undefined;

  function decide(record: MoveRecord): MoveChange | undefined {
    return followed?.decide(record);
  }

  function takeRecord({ record }: StoredMove, now: number): readonly MoveGuardEffect[] {
    if (followed !== undefined && isSameMove(followed.record(), record)) {
      return followed.updateRecord(record, now);
    }
    const move = createFollowedMove({
      record,
      failureDomain,
      failureDomains: failureDomains.length,
      policy,
      now,
      settledAt: settledAt ?? now,
    });
    followed = move;
    reports.clear();
    const early = earlyVetoes.filter((veto) => isSameMove(veto.move, record));
    return [...early.flatMap((veto) => move.applyVeto(veto, now)), ...move.refreshShares(now)];
  }

  function takeVeto(veto: MoveVeto, now: number): readonly MoveGuardEffect[] {
    if (followed === undefined || !isSameMove(followed.record(), veto.move)) {
      earlyVetoes = [...earlyVetoes, veto].slice(-EARLY_VETOES_KEPT);
      return [];
    }
    return followed.record().verdict === 'underWay' ? followed.applyVeto(veto, now) : [];
  }

  function stepLocally(move: FollowedMove, now: number): readonly MoveGuardEffect[] {
    const heard = reports.tryGetAll(identifyMove(move.record()), others, now);
    return heard === undefined ? [] : move.stepLocally(heard, now);
  }

  function announce(move: FollowedMove, now: number): readonly MoveGuardEffect[] {
    if (!reporter.isDue(now) || move.record().verdict !== 'underWay') {
      return [];
    }
    const veto = move.veto();
    return [
      { kind: 'announceReport', report: reporter.send(move.makeReport(), now) },
      ...(veto === undefined ? [] : [{ kind: 'announceVeto' as const, veto }]),
    ];
  }

  function passTime(now: number): readonly MoveGuardEffect[] {
    return followed === undefined
      ? []
      : [...followed.refreshShares(now), ...stepLocally(followed, now), ...announce(followed, now)];
  }

  function takeMessage(message: MoveGuardMessage, now: number): readonly MoveGuardEffect[] {
    return match(message)
      .with({ kind: 'versionEvidence' }, (evidence) => followed?.observe(evidence, now) ?? [])
      .with({ kind: 'timePassed' }, () => passTime(now))
      .with({ kind: 'recordSeen' }, ({ stored }) =>
        writer.see(stored) ? takeRecord(stored, now) : [],
      )
      .with({ kind: 'recordAnswered' }, ({ answer }) => {
        const stored = writer.answer(answer, now) ? writer.stored() : undefined;
        return stored === undefined ? [] : takeRecord(stored, now);
      })
      .with({ kind: 'vetoHeard' }, ({ veto }) => takeVeto(veto, now))
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
        followed?.count(counted);
        return [];
      })
      .exhaustive();
  }

  return {
    handle(message, now) {
      settledAt ??= now + policy.settleTime;
      const effects = takeMessage(message, now);
      // Evidence comes once for each request; what it changes shows as effects.
      return message.kind === 'versionEvidence' && effects.length === 0
        ? effects
        : [...effects, ...writer.advance(decide, now)];
    },
    shares: () => followed?.shares(),
  };
}
