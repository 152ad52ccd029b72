import selectHeaders from './selectHeaders';

/** A backend server's headers as names and values by turns, without those of its connection. */
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
