import createLooseItem from './createLooseItem';
import type { DiagnosticName, LocatedText, LooseItem, ParsedAnswers, Symbols } from './types';

/** Third phase: collects the names that the answers declare and reports those declared twice. */
export default function bindAnswers(parsed: ParsedAnswers): Symbols {
  const root = createLooseItem(parsed.value, []);
  const symbols = collectSymbols(root);
  const declared: readonly (readonly [string, readonly LocatedText[]])[] = [
    ['tier', symbols.tiers],
    ['customer', symbols.customers],
    ['place', symbols.places],
    ['entry host', symbols.entryHosts],
    ['model or service', symbols.pools],
    ['backend server', symbols.backendServers],
    ['administrator', symbols.administrators],
  ];
  declared.forEach(([target, names]) => reportRepeated(parsed, 'duplicateName', names, target));
  reportRepeated(parsed, 'duplicateAddress', addressesOf(root), 'address');
  reportRepeated(parsed, 'duplicateHash', hashesOf(root), 'hash');
  return symbols;
}

function poolsOf(root: LooseItem): readonly LooseItem[] {
  return [...root.items('models'), ...root.items('services')];
}

function backendServersOf(root: LooseItem): readonly LooseItem[] {
  return poolsOf(root).flatMap((pool) => [...pool.items('engines'), ...pool.items('instances')]);
}

function namesOf(items: readonly LooseItem[], field = 'name'): readonly LocatedText[] {
  return items.map((item) => item.tryGetText(field)).filter((text) => text !== undefined);
}

function collectSymbols(root: LooseItem): Symbols {
  const places = root.items('places');
  return {
    tiers: namesOf(root.items('tiers')),
    customers: namesOf(root.items('customers')),
    places: namesOf(places),
    entryHosts: namesOf(places.flatMap((place) => place.items('entryHosts'))),
    pools: namesOf(poolsOf(root)),
    backendServers: namesOf(backendServersOf(root)),
    administrators: namesOf(root.items('administrators')),
  };
}

/** All addresses as `host:port`, so that a listener and a backend server can be compared. */
function addressesOf(root: LooseItem): readonly LocatedText[] {
  const hosts = root.items('places').flatMap((place) => place.items('entryHosts'));
  const backendServers = namesOf(backendServersOf(root), 'address').map(({ text, path }) => ({
    text: text.replace(/^https?:\/\//, '').replace(/\/$/, ''),
    path,
  }));
  return [...namesOf(hosts, 'callers'), ...namesOf(hosts, 'peers'), ...backendServers];
}

function hashesOf(root: LooseItem): readonly LocatedText[] {
  return [
    ...root.items('customers').flatMap((customer) => customer.texts('apiKeyHashes')),
    ...namesOf(root.items('administrators'), 'tokenHash'),
  ];
}

function reportRepeated(
  { sink }: ParsedAnswers,
  diagnostic: DiagnosticName,
  texts: readonly LocatedText[],
  target: string,
): void {
  const first = new Map<string, LocatedText>();
  for (const located of texts) {
    const earlier = first.get(located.text);
    if (earlier === undefined) {
      first.set(located.text, located);
    } else {
      const line = sink.lineOf(earlier.path);
      sink.report(diagnostic, located.path, { target, found: `'${located.text}'`, line });
    }
  }
}
