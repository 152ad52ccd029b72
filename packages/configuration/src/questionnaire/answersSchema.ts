import { z } from 'zod';
import isBaseUrl from '../isBaseUrl';
import { parseAddress } from '@rattanreel/core';
import type { DiagnosticName } from './types';

const MAXIMUM_TEXT_LENGTH = 200;
const MAXIMUM_MILLISECONDS = 3_600_000;
const MAXIMUM_WEIGHT = 1_000;
const MAXIMUM_MEMORY_TOKENS = 1_000_000_000;
const MAXIMUM_STREAMS = 100_000;
const MAXIMUM_TIERS = 16;
const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const PATH_PATTERN = /^\/(?:[^/?#\s]+(?:\/[^/?#\s]+)*)?$/;

/**
 * Creates a schema of a mapping without unknown fields. The error text for an unknown field lists
 * the known ones.
 */
function mapping<Shape extends z.ZodRawShape>(shape: Shape) {
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === 'unrecognized_keys' ? Object.keys(shape).join(', ') : undefined,
  });
}

function textMatching(isValid: (text: string) => boolean, diagnostic: DiagnosticName) {
  return z.string().refine(isValid, { params: { diagnostic } });
}

function numberInRange(low: number, high: number, isInteger = true) {
  const allowed = `a ${isInteger ? 'whole ' : ''}number from ${low} to ${high}`;
  const isValid = (value: number) =>
    value >= low && value <= high && (!isInteger || Number.isInteger(value));
  return z.number().refine(isValid, { params: { diagnostic: 'numberOutOfRange', allowed } });
}

function listOf<Element extends z.ZodType>(element: Element) {
  return z.array(element).min(1);
}

const name = textMatching((text) => NAME_PATTERN.test(text), 'invalidName');
const text = textMatching(
  (value) => value.length > 0 && value.length <= MAXIMUM_TEXT_LENGTH,
  'emptyText',
);
const hash = textMatching((value) => HASH_PATTERN.test(value), 'invalidHash');
const url = textMatching(isBaseUrl, 'invalidUrl');
const pathPrefix = textMatching((value) => PATH_PATTERN.test(value), 'invalidPathPrefix');
const milliseconds = numberInRange(1, MAXIMUM_MILLISECONDS);
const address = textMatching(
  (value) => parseAddress(value).kind !== 'invalidAddress',
  'invalidAddress',
).refine((value) => parseAddress(value).kind !== 'invalidPort', {
  params: { diagnostic: 'invalidPort' },
});

const tier = mapping({
  name,
  rank: numberInRange(1, MAXIMUM_TIERS),
  firstTokenMilliseconds: milliseconds,
  betweenTokensMilliseconds: milliseconds,
  deadlineMilliseconds: milliseconds,
});

const customer = mapping({
  name,
  weight: numberInRange(0.001, MAXIMUM_WEIGHT, false),
  tier: name,
  apiKeyHashes: listOf(hash),
});

const place = mapping({
  name,
  region: name,
  entryHosts: listOf(mapping({ name, callers: address, peers: address })),
});

const backendServer = {
  name,
  place: name,
  address: url,
  hardware: name,
  maximumStreams: numberInRange(1, MAXIMUM_STREAMS),
  checksFencing: z.boolean(),
  version: name.optional(),
};

const model = mapping({
  name,
  model: text,
  versions: listOf(name),
  currentVersion: name,
  engines: listOf(
    mapping({ ...backendServer, memoryTokens: numberInRange(1, MAXIMUM_MEMORY_TOKENS) }),
  ),
});

const service = mapping({
  name,
  versions: listOf(name),
  currentVersion: name,
  routes: listOf(
    mapping({
      method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
      path: pathPrefix,
      repeatable: z.boolean(),
      tier: name.optional(),
    }),
  ),
  instances: listOf(mapping(backendServer)),
});

const peerSecurity = z.discriminatedUnion(
  'kind',
  [
    mapping({ kind: z.literal('plainLoopback') }),
    mapping({
      kind: z.literal('mutualTls'),
      certificateFile: text,
      privateKeyFile: text,
      authorityFile: text,
    }),
  ],
  { error: (issue) => (issue.code === 'invalid_union' ? 'plainLoopback, mutualTls' : undefined) },
);

/** Schema of the answers to the questionnaire. */
const answersSchema = mapping({
  formatVersion: z.literal(1),
  deployment: name,
  platform: url,
  peerSecurity,
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).optional(),
  tiers: listOf(tier),
  customers: listOf(customer),
  places: listOf(place),
  models: z.array(model).optional(),
  services: z.array(service).optional(),
  administrators: listOf(mapping({ name, role: z.enum(['viewer', 'operator']), tokenHash: hash })),
});

export default answersSchema;
