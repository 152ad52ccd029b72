import type { VersionShare } from '@rattanreel/scheduling';
import type { MoveRecord } from './types';

interface SharesInForceOptions {
  readonly record: MoveRecord;
  /** Whether this failure domain has set the new version's share to nothing. */
  readonly vetoed: boolean;
  /** Step that the failure domain has reached on its own by pre-authorisation. */
  readonly localStep?: number;
}

function getNewVersionShare({ record, vetoed, localStep }: SharesInForceOptions): number {
  if (vetoed || record.verdict === 'takenBack' || record.verdict === 'cancelled') {
    return 0;
  }
  if (record.verdict === 'done') {
    return 1;
  }
  const step = Math.max(record.step, localStep ?? -1);
  return record.steps[step]?.share ?? 0;
}

/** The shares of a pool's versions that one failure domain follows, the old version first. */
export default function getSharesInForce(options: SharesInForceOptions): readonly VersionShare[] {
  const share = getNewVersionShare(options);
  return [
    { version: options.record.from, share: 1 - share },
    { version: options.record.to, share },
  ];
}
