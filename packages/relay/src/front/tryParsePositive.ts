/** Parses a positive number; undefined when the text is absent or malformed. */
export default function tryParsePositive(text: string | undefined): number | undefined {
  const value = Number(text);
  return text !== undefined && Number.isFinite(value) && value > 0 ? value : undefined;
}
