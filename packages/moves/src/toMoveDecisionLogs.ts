import getMoveIdentity from './getMoveIdentity';
import type { MoveDecisionLogged, MoveRecord } from './types';

/** Returns the log entries for the changes between two states of one move's record. */
export default function toMoveDecisionLogs(
  before: MoveRecord,
  record: MoveRecord,
): readonly MoveDecisionLogged[] {
  const decisions: MoveDecisionLogged['decision'][] = [];
  if (record.step !== before.step) {
    decisions.push('stepTaken');
  }
  if (record.late && !before.late) {
    decisions.push('late');
  }
  if (record.fullShareAt !== before.fullShareAt) {
    decisions.push('fullShare');
  }
  if (record.verdict !== before.verdict && record.verdict !== 'underWay') {
    decisions.push(record.verdict);
  }
  const reason =
    record.takenBackBecause?.detail ?? `step ${record.step + 1} of ${record.steps.length}`;
  const share = record.steps[record.step]?.share ?? 0;
  const move = getMoveIdentity(record);
  return decisions.map((decision) => ({ kind: 'logMoveDecision', decision, move, reason, share }));
}
