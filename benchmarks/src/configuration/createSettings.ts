import { createHash } from 'node:crypto';
import type { DeploymentSettings } from '@rattanreel/configuration';
import type { DeploymentSize } from './types';

const TIERS = ['urgent', 'standard', 'patient', 'background', 'bulk'];
const HARDWARE = ['one', 'two', 'three', 'four', 'five'];
const CALLER_PORT = 20_000;
const PEER_PORT = 30_000;
const HOSTS_PER_SUBNET = 200;

/** Creates the settings of a synthetic deployment of a given size, as the questionnaire would. */
export default function createSettings(size: DeploymentSize): DeploymentSettings {
  const domains = list(size.domains, (index) => `domain-${index}`);
  return {
    kind: 'deploymentSettings',
    formatVersion: 1,
    deployment: 'benchmark',
    failureDomains: domains.map((id, index) => ({ id, region: `region-${index % 3}` })),
    entryHosts: domains.flatMap((failureDomain, domain) =>
      list(size.hostsPerDomain, (index) => ({
        id: `${failureDomain}-host-${index}`,
        failureDomain,
        callerAddress: `127.0.${domain}.${(index % HOSTS_PER_SUBNET) + 1}:${CALLER_PORT}`,
        peerAddress: `127.0.${domain}.${(index % HOSTS_PER_SUBNET) + 1}:${PEER_PORT}`,
      })),
    ),
    tiers: TIERS.map((id, index) => ({
      id,
      firstTokenMilliseconds: 1_000 * (index + 1),
      betweenTokensMilliseconds: 50 * (index + 1),
      defaultDeadlineMilliseconds: 60_000 * (index + 1),
    })),
    customers: list(size.customers, (index) => ({
      id: `customer-${index}`,
      weight: 1 + (index % 5),
      tier: TIERS[index % TIERS.length]!,
      apiKeyHashes: [hash(`customer-${index}`)],
    })),
    pools: list(size.models, (index) => ({
      kind: 'model' as const,
      id: `model-${index}`,
      model: `model-${index}`,
      versions: ['v1', 'v2'],
      currentVersion: 'v1',
    })),
    backendServers: list(size.engines, (index) => ({
      id: `engine-${index}`,
      pool: `model-${index % size.models}`,
      failureDomain: domains[Math.floor(index / size.models) % domains.length]!,
      address: `http://127.1.${Math.floor(index / HOSTS_PER_SUBNET)}.${(index % HOSTS_PER_SUBNET) + 1}:8000`,
      hardware: HARDWARE[index % HARDWARE.length]!,
      version: 'v1',
      checksFencing: index % 2 === 0,
      memoryTokens: 100_000,
      maximumStreams: 32,
    })),
    administrators: [{ name: 'desk', role: 'operator', tokenHash: hash('desk') }],
    drained: { failureDomains: [], entryHosts: [], backendServers: [] },
  };
}

function list<Value>(length: number, create: (index: number) => Value): Value[] {
  return Array.from({ length }, (_, index) => create(index));
}

function hash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
