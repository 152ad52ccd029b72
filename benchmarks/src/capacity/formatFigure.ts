const SIGNIFICANT_DIGITS = 3;

/**
 * Formats a figure with three significant digits and its unit; an undefined or infinite one becomes
 * "not measured".
 */
export default function formatFigure(value: number | undefined, unit: string): string {
  if (value === undefined || !Number.isFinite(value)) {
    return 'not measured';
  }
  const rounded = Number(value.toPrecision(SIGNIFICANT_DIGITS));
  return `${rounded.toLocaleString('en-US', { maximumSignificantDigits: SIGNIFICANT_DIGITS })} ${unit}`;
}
