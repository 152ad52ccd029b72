import type {
  BackendServerSettings,
  DeploymentSettings,
  EntryHostAddress,
  EntryHostSettings,
  PoolSettings,
} from '../types';
import type { Answers } from './types';

const SEED_PEERS_OF_OTHER_DOMAINS = 2;
/** A call of a plain service counts as one token. */
const TOKENS_PER_CALL = 1;

interface GeneratedSettings {
  readonly settings: DeploymentSettings;
  readonly entryHosts: readonly EntryHostSettings[];
}

/**
 * Last phase: generates the settings of the deployment and of each entry host from checked answers.
 */
export default function generateSettings(answers: Answers): GeneratedSettings {
  const entryHosts = generateEntryHostAddresses(answers);
  return {
    settings: {
      kind: 'deploymentSettings',
      formatVersion: 1,
      deployment: answers.deployment,
      failureDomains: answers.places.map(({ name, region }) => ({ id: name, region })),
      entryHosts,
      tiers: answers.tiers.map((tier) => ({
        id: tier.name,
        firstTokenMilliseconds: tier.firstTokenMilliseconds,
        betweenTokensMilliseconds: tier.betweenTokensMilliseconds,
        defaultDeadlineMilliseconds: tier.deadlineMilliseconds,
      })),
      customers: answers.customers.map(({ name, ...customer }) => ({ id: name, ...customer })),
      pools: generatePools(answers),
      backendServers: generateBackendServers(answers),
      administrators: answers.administrators,
      drained: { failureDomains: [], entryHosts: [], backendServers: [] },
    },
    entryHosts: entryHosts.map((host) => generateEntryHost(answers, entryHosts, host)),
  };
}

function generateEntryHostAddresses(answers: Answers): readonly EntryHostAddress[] {
  return answers.places.flatMap((place) =>
    place.entryHosts.map((host) => ({
      id: host.name,
      failureDomain: place.name,
      callerAddress: host.callers,
      peerAddress: host.peers,
    })),
  );
}

function generatePools(answers: Answers): readonly PoolSettings[] {
  const models = (answers.models ?? []).map(({ name, model, versions, currentVersion }) => ({
    kind: 'model' as const,
    id: name,
    model,
    versions,
    currentVersion,
  }));
  const services = (answers.services ?? []).map(({ name, routes, versions, currentVersion }) => ({
    kind: 'service' as const,
    id: name,
    service: name,
    routes: routes.map(({ path, ...route }) => ({ ...route, pathPrefix: path })),
    versions,
    currentVersion,
  }));
  return [...models, ...services];
}

function generateBackendServers(answers: Answers): readonly BackendServerSettings[] {
  const engines = (answers.models ?? []).flatMap(({ name: pool, currentVersion, engines: list }) =>
    list.map(({ name, place, version = currentVersion, ...engine }) => ({
      id: name,
      pool,
      failureDomain: place,
      version,
      ...engine,
    })),
  );
  const instances = (answers.services ?? []).flatMap(
    ({ name: pool, currentVersion, instances: list }) =>
      list.map(({ name, place, version = currentVersion, ...instance }) => ({
        id: name,
        pool,
        failureDomain: place,
        version,
        memoryTokens: instance.maximumStreams * TOKENS_PER_CALL,
        ...instance,
      })),
  );
  return [...engines, ...instances];
}

function generateEntryHost(
  answers: Answers,
  entryHosts: readonly EntryHostAddress[],
  host: EntryHostAddress,
): EntryHostSettings {
  return {
    kind: 'entryHostSettings',
    entryHost: host.id,
    failureDomain: host.failureDomain,
    callerAddress: host.callerAddress,
    peerAddress: host.peerAddress,
    platformUrl: answers.platform,
    seedPeers: chooseSeedPeers(answers, entryHosts, host),
    peerSecurity: answers.peerSecurity,
    logLevel: answers.logLevel ?? 'info',
  };
}

/** Returns every peer of the host's own failure domain, and a few of each other one. */
function chooseSeedPeers(
  answers: Answers,
  entryHosts: readonly EntryHostAddress[],
  host: EntryHostAddress,
): readonly string[] {
  return answers.places.flatMap(({ name }) => {
    const peers = entryHosts.filter(
      ({ failureDomain, id }) => failureDomain === name && id !== host.id,
    );
    const chosen =
      name === host.failureDomain ? peers : peers.slice(0, SEED_PEERS_OF_OTHER_DOMAINS);
    return chosen.map(({ peerAddress }) => peerAddress);
  });
}
