import type { Milliseconds } from '@rattanreel/core';
import { match } from 'ts-pattern';
import tryApplyPatch from './changes/tryApplyPatch';
import createConfigurationHistory from './replica/createConfigurationHistory';
import createConfigurationFetcher from './replica/createConfigurationFetcher';
import createActiveConfiguration from './replica/createActiveConfiguration';
import createLocalDrains from './replica/createLocalDrains';
import createPeerSender from './replica/createPeerSender';
import createInitialConfigurationSelector from './replica/createInitialConfigurationSelector';
import defaultConfigurationPolicy from './replica/defaultConfigurationPolicy';
import parseAcceptedConfiguration from './parseAcceptedConfiguration';
import type {
  AcceptedConfiguration,
  ConfigurationEffect,
  ConfigurationReplica,
  ConfigurationReplicaOptions,
  ConfigurationMessage,
  ConfigurationPatch,
  ConfigurationPeer,
  ConfigurationPeerMessage,
} from './types';

/**
 * Creates the replica that decides which configuration is active: only a later one ever replaces
 * it. See docs/decisions/configuration.md.
 */
export default function createConfigurationReplica(
  options: ConfigurationReplicaOptions,
): ConfigurationReplica {
  const { seeds } = options;
  const policy = { ...defaultConfigurationPolicy, ...options.policy };
  let peers: readonly ConfigurationPeer[] = [];
  let isDelegate = false;
  let effects: ConfigurationEffect[] = [];
  let requestDueAt = options.startedAt;
  let recordDueAt = options.startedAt;
  const emit = (effect: ConfigurationEffect) => effects.push(effect);
  const send = (peer: ConfigurationPeer, message: ConfigurationPeerMessage) =>
    emit({ kind: 'sendToPeer', ...peer, message });
  const history = createConfigurationHistory(policy.historyLength);
  const fetcher = createConfigurationFetcher({ timeout: policy.fetchTimeout });
  const selector = createInitialConfigurationSelector({ startTimeout: policy.startTimeout });
  const localDrains = createLocalDrains();
  const active = createActiveConfiguration({ history, localDrains, emit });
  const sender = createPeerSender({ self: options, active, history, localDrains, send });
  const seedIds = seeds.map(({ entryHost }) => entryHost);

  function adopt(configuration: AcceptedConfiguration): void {
    active.adopt(configuration);
    if (isDelegate) {
      sender.announce(peers);
    }
  }

  function selectInitialConfiguration(now: Milliseconds): void {
    const chosen = active.tryGet() === undefined ? selector.trySelect(now) : undefined;
    if (chosen !== undefined) {
      adopt(chosen);
    }
  }

  function handleOffer(value: unknown): void {
    const parsed = parseAcceptedConfiguration(value);
    if (parsed.kind === 'error') {
      emit({ kind: 'offerRejected', error: parsed.error });
    } else if (active.tryGet() === undefined) {
      selector.addCandidate(parsed.value);
    } else if (parsed.value.generation > active.generation()) {
      adopt(parsed.value);
    }
  }

  function handlePatch(patch: ConfigurationPatch, source: ConfigurationPeer | undefined): void {
    const current = active.tryGet();
    const patched = current && tryApplyPatch(current, patch);
    if (patched !== undefined) {
      handleOffer(patched);
    } else if (patch.to > active.generation() && source !== undefined) {
      // The patch does not start from the active configuration, so the whole one is requested.
      sender.request(source, 0);
    }
  }

  function receive(message: ConfigurationPeerMessage): void {
    match(message)
      .with({ kind: 'configurationAnnounced' }, (announced) =>
        fetcher.addSource(announced.generation, {
          entryHost: announced.from,
          address: announced.fromAddress,
        }),
      )
      .with({ kind: 'configurationRequested' }, (requested) =>
        sender.answer(
          { entryHost: requested.from, address: requested.fromAddress },
          requested.have,
        ),
      )
      .with({ kind: 'configurationSent' }, ({ from, configuration }) => {
        selector.recordPeerAnswer(from);
        handleOffer(configuration);
      })
      .with({ kind: 'configurationPatched' }, ({ from, patch }) =>
        handlePatch(patch, fetcher.tryGetSource(from)),
      )
      .with({ kind: 'configurationNotLater' }, ({ from }) => {
        selector.recordPeerAnswer(from);
        fetcher.removeSource(from);
      })
      .with({ kind: 'localDrainsTold' }, ({ drains }) => active.addLocalDrains(drains))
      .exhaustive();
  }

  function requestInitialConfiguration(now: Milliseconds): void {
    if (active.tryGet() === undefined && now >= requestDueAt) {
      requestDueAt = now + policy.retryInterval;
      selector.recordRequests(seedIds, now);
      emit({ kind: 'readStore' });
      seeds.forEach((seed) => sender.request(seed, 0));
    }
  }

  function recordLocalDrains(now: Milliseconds): void {
    if (now >= recordDueAt) {
      recordDueAt = now + policy.recordInterval;
      sender.sendLocalDrains(peers);
      if (isDelegate) {
        localDrains.list().forEach((drain) => emit({ kind: 'recordLocalDrain', drain }));
      }
    }
  }

  function dispatch(message: ConfigurationMessage, now: Milliseconds): void {
    match(message)
      .with({ kind: 'storeOffered' }, ({ value }) => {
        selector.recordStoreAnswer();
        if (value !== undefined) {
          handleOffer(value);
        }
      })
      .with({ kind: 'storeFailed' }, { kind: 'timePassed' }, () => undefined)
      .with({ kind: 'peerMessageReceived' }, (received) => receive(received.message))
      .with({ kind: 'laterGenerationSeen' }, (seen) =>
        fetcher.addSource(seen.generation, { entryHost: seen.entryHost, address: seen.address }),
      )
      .with({ kind: 'peersChanged' }, (changed) => {
        peers = changed.peers;
        if (changed.isDelegate !== isDelegate) {
          isDelegate = changed.isDelegate;
          emit({ kind: 'watchStore', watching: isDelegate });
        }
      })
      .with({ kind: 'localDrainRequested' }, ({ drain }) => {
        if (active.addLocalDrains([drain])) {
          recordDueAt = now;
        }
      })
      .exhaustive();
  }

  return {
    handle(message, now) {
      effects = [];
      dispatch(message, now);
      requestInitialConfiguration(now);
      selectInitialConfiguration(now);
      recordLocalDrains(now);
      const source = active.tryGet() && fetcher.tryGetDueSource(active.generation(), now);
      if (source !== undefined) {
        sender.request(source, active.generation());
      }
      return effects;
    },
    getNextWakeUp(now) {
      const requestDue = active.tryGet() === undefined ? requestDueAt : undefined;
      const due = [requestDue, recordDueAt, fetcher.dueAt()];
      return Math.max(now, Math.min(...due.filter((time) => time !== undefined)));
    },
    status: () => ({
      ready: active.tryGet() !== undefined,
      activeConfiguration: active.tryGet(),
      settings: active.tryGetSettings(),
      highestGenerationSeen: Math.max(active.generation(), fetcher.targetGeneration()),
      localDrains: localDrains.list(),
    }),
  };
}
