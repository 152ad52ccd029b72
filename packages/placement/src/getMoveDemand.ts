import type { MoveRecord } from '@rattanreel/moves';
import type { VersionDemand } from './types';

interface MoveDemandOptions {
  readonly record: MoveRecord;
  /** Work a second of the pool in this failure domain, over all versions. */
  readonly work: number;
  /** Share of the new version in force in this failure domain. */
  readonly share: number;
}

/**
 * What a pool under a move needs: the new version is loaded ahead for the next step, since its servers start cold,
 * and the old version keeps a server to fall back to until the move has its verdict.
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
