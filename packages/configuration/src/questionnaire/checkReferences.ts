import isLoopbackAddress from '../isLoopbackAddress';
import { parseAddress } from '@rattanreel/core';
import createUncheckedMapping from './createUncheckedMapping';
import type {
  DiagnosticSink,
  LocatedText,
  UncheckedMapping,
  ParsedAnswers,
  Symbols,
} from './types';

/** Fourth phase: reports names that do not exist and answers that contradict each other. */
export default function checkReferences(parsed: ParsedAnswers, symbols: Symbols): void {
  const root = createUncheckedMapping(parsed.value, []);
  const { sink } = parsed;
  checkTiers(sink, root);
  root
    .getMappings('customers')
    .forEach((customer) =>
      checkReference(sink, 'tier', symbols.tiers, customer.tryGetText('tier')),
    );
  [...root.getMappings('models'), ...root.getMappings('services')].forEach((pool) =>
    checkPool(sink, symbols, pool),
  );
  checkPeerSecurity(sink, root);
}

function checkReference(
  sink: DiagnosticSink,
  target: string,
  declared: readonly LocatedText[],
  reference: LocatedText | undefined,
): void {
  if (reference === undefined || declared.some(({ text }) => text === reference.text)) {
    return;
  }
  const allowed = declared.map(({ text }) => text).join(', ');
  sink.report('unknownReference', reference.path, {
    target,
    found: `'${reference.text}'`,
    allowed,
  });
}

function checkTiers(sink: DiagnosticSink, root: UncheckedMapping): void {
  root.getMappings('tiers').forEach((tier, index) => {
    const rank = tier.tryGetNumber('rank');
    const position = index + 1;
    if (rank !== undefined && rank !== position) {
      sink.report('tierOutOfOrder', [...tier.path, 'rank'], { found: rank, position });
    }
    const firstToken = tier.tryGetNumber('firstTokenMilliseconds');
    const deadline = tier.tryGetNumber('deadlineMilliseconds');
    if (firstToken !== undefined && deadline !== undefined && firstToken > deadline) {
      const path = [...tier.path, 'firstTokenMilliseconds'];
      sink.report('deadlineOrder', path, { found: firstToken, allowed: deadline });
    }
  });
}

function checkPool(sink: DiagnosticSink, symbols: Symbols, pool: UncheckedMapping): void {
  const versions = pool.getTexts('versions');
  checkReference(sink, 'version', versions, pool.tryGetText('currentVersion'));
  [...pool.getMappings('engines'), ...pool.getMappings('instances')].forEach((backendServer) => {
    checkReference(sink, 'place', symbols.places, backendServer.tryGetText('place'));
    checkReference(sink, 'version', versions, backendServer.tryGetText('version'));
  });
  const routes = pool.getMappings('routes');
  routes.forEach((route, index) => {
    checkReference(sink, 'tier', symbols.tiers, route.tryGetText('tier'));
    const other = routes.slice(0, index).find((earlier) => routesOverlap(earlier, route));
    if (other !== undefined) {
      const line = sink.lineOf(other.path);
      sink.report('overlappingRoutes', route.path, { other: describeRoute(other), line });
    }
  });
}

function describeRoute(route: UncheckedMapping): string {
  return `'${route.tryGetText('method')?.text} ${route.tryGetText('path')?.text}'`;
}

function routesOverlap(left: UncheckedMapping, right: UncheckedMapping): boolean {
  const leftPath = left.tryGetText('path')?.text;
  const rightPath = right.tryGetText('path')?.text;
  if (leftPath === undefined || rightPath === undefined) {
    return false;
  }
  const sameMethod = left.tryGetText('method')?.text === right.tryGetText('method')?.text;
  return sameMethod && (contains(leftPath, rightPath) || contains(rightPath, leftPath));
}

function contains(prefix: string, path: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

function checkPeerSecurity(sink: DiagnosticSink, root: UncheckedMapping): void {
  if (root.tryGetMapping('peerSecurity')?.tryGetText('kind')?.text !== 'plainLoopback') {
    return;
  }
  root
    .getMappings('places')
    .flatMap((place) => place.getMappings('entryHosts'))
    .map((host) => host.tryGetText('peers'))
    .filter((peers) => peers !== undefined)
    .filter(({ text }) => parseAddress(text).kind === 'address' && !isLoopbackAddress(text))
    .forEach(({ text, path }) => sink.report('plainTextPeers', path, { found: text }));
}
