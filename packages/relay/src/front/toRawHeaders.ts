import selectHeaders from './selectHeaders';

/** Converts response headers to alternating names and values, without those of the connection. */
export default function toRawHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): string[] {
  const raw = Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) {
      return [];
    }
    return typeof value === 'string' ? [name, value] : value.flatMap((each) => [name, each]);
  });
  return selectHeaders(raw);
}
