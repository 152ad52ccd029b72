import { createHash } from 'node:crypto';
import { stringify } from 'yaml';
import type { DemoAnswersOptions } from './types';

const MEMORY_TOKENS_BY_HARDWARE = { fast: 60_000, slow: 30_000 };
const MAXIMUM_STREAMS_BY_HARDWARE = { fast: 16, slow: 8 };

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function describeEngine(
  name: string,
  place: string,
  address: string,
  hardware: 'fast' | 'slow',
): Record<string, unknown> {
  return {
    name,
    place,
    address,
    hardware,
    memoryTokens: MEMORY_TOKENS_BY_HARDWARE[hardware],
    maximumStreams: MAXIMUM_STREAMS_BY_HARDWARE[hardware],
    checksFencing: hardware === 'fast',
  };
}

/**
 * Creates the demo's answers to the questionnaire as YAML: one failure domain per place (three in
 * the demo), engines of two speeds and an order book.
 */
export default function createDemoAnswers(options: DemoAnswersOptions): string {
  return stringify({
    formatVersion: 1,
    deployment: 'demo',
    platform: options.platformUrl,
    peerSecurity: { kind: 'plainLoopback' },
    logLevel: options.logLevel,
    tiers: [
      {
        name: 'urgent',
        rank: 1,
        firstTokenMilliseconds: 1_700,
        betweenTokensMilliseconds: 100,
        deadlineMilliseconds: 15_000,
      },
      {
        name: 'standard',
        rank: 2,
        firstTokenMilliseconds: 3_000,
        betweenTokensMilliseconds: 150,
        deadlineMilliseconds: 30_000,
      },
      {
        name: 'background',
        rank: 3,
        firstTokenMilliseconds: 10_000,
        betweenTokensMilliseconds: 500,
        deadlineMilliseconds: 60_000,
      },
    ],
    customers: options.customers.map(({ name, weight, tier, apiKey }) => ({
      name,
      weight,
      tier,
      apiKeyHashes: [sha256(apiKey)],
    })),
    places: options.places.map(({ name, entryHosts }) => ({ name, region: 'home', entryHosts })),
    models: [
      {
        name: 'assistant',
        model: 'assistant',
        versions: ['v1', 'v2'],
        currentVersion: 'v1',
        engines: options.engines.map(({ name, place, address, hardware }) =>
          describeEngine(name, place, address, hardware),
        ),
      },
    ],
    services: [
      {
        name: 'order-book',
        versions: ['v1'],
        currentVersion: 'v1',
        routes: [
          { method: 'POST', path: '/orders', repeatable: false, tier: 'urgent' },
          { method: 'GET', path: '/orders', repeatable: true },
        ],
        instances: options.orderBooks.map(({ name, place, address }) => ({
          name,
          place,
          address,
          hardware: 'standard',
          maximumStreams: 16,
          checksFencing: false,
        })),
      },
    ],
    administrators: [
      { name: 'operator', role: 'operator', tokenHash: sha256(options.operatorToken) },
    ],
  });
}
