/** Returns the value that `share` of the values do not exceed; 0 without values. */
export default function getPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
