import createUncheckedMapping from './createUncheckedMapping';
import type {
  DiagnosticName,
  LocatedText,
  UncheckedMapping,
  ParsedAnswers,
  Symbols,
} from './types';

/** Third phase: collects the names that the answers declare and reports duplicates. */
export default function bindAnswers(parsed: ParsedAnswers): Symbols {
  const root = createUncheckedMapping(parsed.value, []);
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
  declared.forEach(([target, names]) => reportDuplicates(parsed, 'duplicateName', names, target));
  reportDuplicates(parsed, 'duplicateAddress', addressesOf(root), 'address');
  reportDuplicates(parsed, 'duplicateHash', hashesOf(root), 'hash');
  return symbols;
}

function poolsOf(root: UncheckedMapping): readonly UncheckedMapping[] {
  return [...root.getMappings('models'), ...root.getMappings('services')];
}

function backendServersOf(root: UncheckedMapping): readonly UncheckedMapping[] {
  return poolsOf(root).flatMap((pool) => [
    ...pool.getMappings('engines'),
    ...pool.getMappings('instances'),
  ]);
}

function namesOf(items: readonly UncheckedMapping[], field = 'name'): readonly LocatedText[] {
  return items.map((item) => item.tryGetText(field)).filter((text) => text !== undefined);
}

function collectSymbols(root: UncheckedMapping): Symbols {
  const places = root.getMappings('places');
  return {
    tiers: namesOf(root.getMappings('tiers')),
    customers: namesOf(root.getMappings('customers')),
    places: namesOf(places),
    entryHosts: namesOf(places.flatMap((place) => place.getMappings('entryHosts'))),
    pools: namesOf(poolsOf(root)),
    backendServers: namesOf(backendServersOf(root)),
    administrators: namesOf(root.getMappings('administrators')),
  };
}

/**
 * Returns all addresses as `host:port`, so that those of listeners and backend servers can be
 * compared.
 */
function addressesOf(root: UncheckedMapping): readonly LocatedText[] {
  const hosts = root.getMappings('places').flatMap((place) => place.getMappings('entryHosts'));
  const backendServers = namesOf(backendServersOf(root), 'address').map(({ text, path }) => ({
    text: text.replace(/^https?:\/\//, '').replace(/\/$/, ''),
    path,
  }));
  return [...namesOf(hosts, 'callers'), ...namesOf(hosts, 'peers'), ...backendServers];
}

function hashesOf(root: UncheckedMapping): readonly LocatedText[] {
  return [
    ...root.getMappings('customers').flatMap((customer) => customer.getTexts('apiKeyHashes')),
    ...namesOf(root.getMappings('administrators'), 'tokenHash'),
  ];
}

function reportDuplicates(
  { sink }: ParsedAnswers,
  diagnostic: DiagnosticName,
  texts: readonly LocatedText[],
  target: string,
): void {
  const firstByText = new Map<string, LocatedText>();
  for (const located of texts) {
    const earlier = firstByText.get(located.text);
    if (earlier === undefined) {
      firstByText.set(located.text, located);
    } else {
      const line = sink.lineOf(earlier.path);
      sink.report(diagnostic, located.path, { target, found: `'${located.text}'`, line });
    }
  }
}
