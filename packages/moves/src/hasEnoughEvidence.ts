import type { CellEvidence, DomainReport, EvidencePolicy } from './types';

interface EvidenceOptions {
  readonly reports: readonly DomainReport[];
  /** Share of the new version during the step. */
  readonly share: number;
  readonly policy: EvidencePolicy;
}

function sumCells(reports: readonly DomainReport[]): readonly CellEvidence[] {
  const sums = new Map<string, CellEvidence>();
  for (const cell of reports.flatMap((report) => report.cells)) {
    const key = `${cell.tier} ${cell.route}`;
    const sum = sums.get(key);
    sums.set(key, {
      ...cell,
      newRequests: cell.newRequests + (sum?.newRequests ?? 0),
      oldRequests: cell.oldRequests + (sum?.oldRequests ?? 0),
    });
  }
  return [...sums.values()];
}

/**
 * Returns whether a step has received enough requests of the new version for the next step: in total, and on each route
 * and tier. There, half of what the old version's concurrent requests predict suffices if it is below the minimum.
 */
export default function hasEnoughEvidence({ reports, share, policy }: EvidenceOptions): boolean {
  const cells = sumCells(reports);
  const total = cells.reduce((sum, cell) => sum + cell.newRequests, 0);
  const odds = share >= 1 ? 0 : share / (1 - share);
  return (
    total >= policy.minimumRequests &&
    cells.every(({ newRequests, oldRequests }) => {
      const expected = (oldRequests * odds) / 2;
      return newRequests >= Math.min(policy.minimumCellRequests, Math.floor(expected));
    })
  );
}
