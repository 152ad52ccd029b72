import { createHash } from 'node:crypto';
import { stringify } from 'yaml';
import type { DemoPorts } from './types';

const MEMORY_TOKENS = { fast: 60_000, slow: 30_000 };
const MAXIMUM_STREAMS = { fast: 16, slow: 8 };

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function engine(
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
    memoryTokens: MEMORY_TOKENS[hardware],
    maximumStreams: MAXIMUM_STREAMS[hardware],
    checksFencing: hardware === 'fast',
  };
}

/** Answers to the questionnaire for the demo, as YAML: three failure domains, engines of two speeds, an order book. */
export default function createDemoAnswers(ports: DemoPorts): string {
  return stringify({
    formatVersion: 1,
    deployment: 'demo',
    platform: ports.platformUrl,
    peerSecurity: { kind: 'plainLoopback' },
    logLevel: ports.logLevel,
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
    customers: ports.customers.map(({ name, weight, tier, apiKey }) => ({
      name,
      weight,
      tier,
      apiKeyHashes: [sha256(apiKey)],
    })),
    places: ports.places.map(({ name, entryHosts }) => ({ name, region: 'home', entryHosts })),
    models: [
      {
        name: 'assistant',
        model: 'assistant',
        versions: ['v1', 'v2'],
        currentVersion: 'v1',
        engines: ports.engines.map(({ name, place, address, hardware }) =>
          engine(name, place, address, hardware),
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
        instances: ports.orderBooks.map(({ name, place, address }) => ({
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
      { name: 'operator', role: 'operator', tokenHash: sha256(ports.operatorToken) },
    ],
  });
}
