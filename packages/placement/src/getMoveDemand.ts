import type { MoveRecord } from '@rattanreel/moves';
import type { VersionDemand } from './types';

interface MoveDemandOptions {
  readonly record: MoveRecord;
  /** Work per second of the pool in this failure domain, over all versions. */
  readonly work: number;
  /** Share of the new version in force in this failure domain. */
  readonly share: number;
}

/**
 * Returns the demand of a pool during a move. The new version is loaded in advance for the next step, because its
 * servers start cold, and the old version keeps a server as a fallback until the move has a final verdict.
 */
export default function getMoveDemand(options: MoveDemandOptions): readonly VersionDemand[] {
  const { record, work, share } = options;
  const { pool, from, to } = record;
  const isUnderWay = record.verdict === 'underWay';
  const isVetoed = share === 0 && record.step >= 0;
  const nextShare = record.steps[record.step + 1]?.share ?? share;
  const provisionedShare = isUnderWay && !isVetoed ? Math.max(share, nextShare) : share;
  return [
    { pool, version: from, work: work * (1 - share), carriesTraffic: share < 1 || isUnderWay },
    { pool, version: to, work: work * provisionedShare, carriesTraffic: share > 0 },
  ];
}
