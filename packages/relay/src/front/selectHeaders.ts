/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

const NOTHING: ReadonlySet<string> = new Set();

/** Headers, names and values by turns, without those of one connection and those in `dropped`. */
export default function selectHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string> = NOTHING,
): string[] {
  const named = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'connection') {
      rawHeaders[index + 1]!.split(',').forEach((name) => named.add(name.trim().toLowerCase()));
    }
  }
  const selected: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!CONNECTION_HEADERS.has(name) && !named.has(name) && !dropped.has(name)) {
      selected.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return selected;
}
