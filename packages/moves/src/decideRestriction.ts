import isSameMove from './isSameMove';
import type { MoveChange, MoveIdentity, MoveRecord, MoveVeto } from './types';

interface RestrictionOptions {
  readonly record: MoveRecord;
  readonly veto: MoveVeto | undefined;
  /** The move that an operator has cancelled. */
  readonly cancelled: MoveIdentity | undefined;
}

/** Returns the change that ends a move with share 0, if a veto or an operator's cancellation requires one. */
export default function decideRestriction(options: RestrictionOptions): MoveChange | undefined {
  const { record, cancelled } = options;
  const veto =
    options.veto !== undefined && isSameMove(options.veto.move, record) ? options.veto : undefined;
  if (veto !== undefined && veto.reason.ground !== 'operator') {
    return { kind: 'takeBack', reason: veto.reason };
  }
  const isCancelled = cancelled !== undefined && isSameMove(cancelled, record);
  return veto !== undefined || isCancelled ? { kind: 'cancel' } : undefined;
}
