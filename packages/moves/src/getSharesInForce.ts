import type { VersionShare } from '@rattanreel/scheduling';
import type { MoveRecord } from './types';

interface SharesInForceOptions {
  readonly record: MoveRecord;
  /** Whether this failure domain has set the new version's share to 0. */
  readonly vetoed: boolean;
  /** Index of the last pre-authorised step that the failure domain has taken on its own. */
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

/** Returns the shares of a pool's versions in one failure domain, the old version first. */
export default function getSharesInForce(options: SharesInForceOptions): readonly VersionShare[] {
  const share = getNewVersionShare(options);
  return [
    { version: options.record.from, share: 1 - share },
    { version: options.record.to, share },
  ];
}
