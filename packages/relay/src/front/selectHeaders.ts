/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
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

/**
 * Removes the headers that apply to a single connection and those for which `isDropped` returns
 * true. Names and values alternate; `isDropped` receives the name in lower case.
 */
export default function selectHeaders(
  rawHeaders: readonly string[],
  isDropped: (name: string) => boolean = () => false,
): string[] {
  const connectionOptions = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'connection') {
      rawHeaders[index + 1]!.split(',').forEach((name) =>
        connectionOptions.add(name.trim().toLowerCase()),
      );
    }
  }
  const selected: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!CONNECTION_HEADERS.has(name) && !connectionOptions.has(name) && !isDropped(name)) {
      selected.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return selected;
}
