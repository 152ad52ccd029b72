import type { Milliseconds } from '@rattanreel/core';
import { match } from 'ts-pattern';
import tryApplyPatch from './changes/tryApplyPatch';
import createConfigurationHistory from './keeper/createConfigurationHistory';
import createFetch from './keeper/createFetch';
import createInForce from './keeper/createInForce';
import createLocalDrains from './keeper/createLocalDrains';
import createPeerAnswers from './keeper/createPeerAnswers';
import createStart from './keeper/createStart';
import defaultConfigurationPolicy from './keeper/defaultConfigurationPolicy';
import parseAcceptedConfiguration from './parseAcceptedConfiguration';
import type {
  AcceptedConfiguration,
  ConfigurationEffect,
  ConfigurationKeeper,
  ConfigurationKeeperOptions,
  ConfigurationMessage,
  ConfigurationPatch,
  ConfigurationPeer,
  ConfigurationPeerMessage,
} from './types';

/** Decides which configuration is in force: only ever a later one; see docs/decisions/configuration.md. */
export default function createConfigurationKeeper(
  options: ConfigurationKeeperOptions,
): ConfigurationKeeper {
  const { seeds } = options;
  const policy = { ...defaultConfigurationPolicy, ...options.policy };
  let peers: readonly ConfigurationPeer[] = [];
  let isDelegate = false;
  let effects: ConfigurationEffect[] = [];
  let startDueAt = options.startedAt;
  let recordDueAt = options.startedAt;
  const emit = (effect: ConfigurationEffect) => effects.push(effect);
  const send = (peer: ConfigurationPeer, message: ConfigurationPeerMessage) =>
    emit({ kind: 'sendToPeer', ...peer, message });
  const history = createConfigurationHistory(policy.historyLength);
  const fetch = createFetch({ timeout: policy.fetchTimeout });
  const start = createStart({ startWait: policy.startWait });
  const localDrains = createLocalDrains();
  const inForce = createInForce({ history, localDrains, emit });
  const answers = createPeerAnswers({ self: options, inForce, history, localDrains, send });
  const seedNames = seeds.map(({ entryHost }) => entryHost);

  function adopt(configuration: AcceptedConfiguration): void {
    inForce.adopt(configuration);
    if (isDelegate) {
      answers.announce(peers);
    }
  }

  function decideStart(now: Milliseconds): void {
    const chosen = inForce.tryGet() === undefined ? start.tryDecide(now) : undefined;
    if (chosen !== undefined) {
      adopt(chosen);
    }
  }

  function takeOffer(value: unknown): void {
    const parsed = parseAcceptedConfiguration(value);
    if (parsed.kind === 'error') {
      emit({ kind: 'offerRejected', error: parsed.error });
    } else if (inForce.tryGet() === undefined) {
      start.offer(parsed.value);
    } else if (parsed.value.generation > inForce.generation()) {
      adopt(parsed.value);
    }
  }

  function takePatch(patch: ConfigurationPatch, source: ConfigurationPeer | undefined): void {
    const current = inForce.tryGet();
    const patched = current && tryApplyPatch(current, patch);
    if (patched !== undefined) {
      takeOffer(patched);
    } else if (patch.to > inForce.generation() && source !== undefined) {
      // The patch does not lead from what is in force here: the whole does.
      answers.request(source, 0);
    }
  }

  function receive(message: ConfigurationPeerMessage): void {
    match(message)
      .with({ kind: 'configurationAnnounced' }, (announced) =>
        fetch.want(announced.generation, {
          entryHost: announced.from,
          address: announced.fromAddress,
        }),
      )
      .with({ kind: 'configurationRequested' }, (requested) =>
        answers.answer(
          { entryHost: requested.from, address: requested.fromAddress },
          requested.have,
        ),
      )
      .with({ kind: 'configurationSent' }, ({ from, configuration }) => {
        start.peerAnswered(from);
        takeOffer(configuration);
      })
      .with({ kind: 'configurationPatched' }, ({ from, patch }) =>
        takePatch(patch, fetch.tryGetSource(from)),
      )
      .with({ kind: 'configurationNotLater' }, ({ from }) => {
        start.peerAnswered(from);
        fetch.drop(from);
      })
      .with({ kind: 'localDrainsTold' }, ({ drains }) => inForce.addDrains(drains))
      .exhaustive();
  }

  function askAtStart(now: Milliseconds): void {
    if (inForce.tryGet() === undefined && now >= startDueAt) {
      startDueAt = now + policy.retryInterval;
      start.asked(seedNames, now);
      emit({ kind: 'readStore' });
      seeds.forEach((seed) => answers.request(seed, 0));
    }
  }

  function recordDrains(now: Milliseconds): void {
    if (now >= recordDueAt) {
      recordDueAt = now + policy.recordInterval;
      answers.tellDrains(peers);
      if (isDelegate) {
        localDrains.list().forEach((drain) => emit({ kind: 'recordLocalDrain', drain }));
      }
    }
  }

  function dispatch(message: ConfigurationMessage, now: Milliseconds): void {
    match(message)
      .with({ kind: 'storeOffered' }, ({ value }) => {
        start.storeAnswered();
        if (value !== undefined) {
          takeOffer(value);
        }
      })
      .with({ kind: 'storeFailed' }, { kind: 'timePassed' }, () => undefined)
      .with({ kind: 'peerMessageReceived' }, (received) => receive(received.message))
      .with({ kind: 'laterGenerationSeen' }, (seen) =>
        fetch.want(seen.generation, { entryHost: seen.entryHost, address: seen.address }),
      )
      .with({ kind: 'peersChanged' }, (changed) => {
        peers = changed.peers;
        if (changed.isDelegate !== isDelegate) {
          isDelegate = changed.isDelegate;
          emit({ kind: 'watchStore', watching: isDelegate });
        }
      })
      .with({ kind: 'localDrainRequested' }, ({ drain }) => {
        if (inForce.addDrains([drain])) {
          recordDueAt = now;
        }
      })
      .exhaustive();
  }

  return {
    handle(message, now) {
      effects = [];
      dispatch(message, now);
      askAtStart(now);
      decideStart(now);
      recordDrains(now);
      const source = inForce.tryGet() && fetch.tryTakeSource(inForce.generation(), now);
      if (source !== undefined) {
        answers.request(source, inForce.generation());
      }
      return effects;
    },
    nextWakeUp(now) {
      const startDue = inForce.tryGet() === undefined ? startDueAt : undefined;
      const due = [startDue, recordDueAt, fetch.dueAt()];
      return Math.max(now, Math.min(...due.filter((time) => time !== undefined)));
    },
    status: () => ({
      ready: inForce.tryGet() !== undefined,
      inForce: inForce.tryGet(),
      settings: inForce.trySettings(),
      highestSeen: Math.max(inForce.generation(), fetch.wanted()),
      localDrains: localDrains.list(),
    }),
  };
}
