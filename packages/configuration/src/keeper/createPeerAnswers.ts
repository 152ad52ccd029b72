import type {
  ConfigurationHistory,
  ConfigurationPeer,
  ConfigurationPeerMessage,
  InForce,
  LocalDrains,
  PeerAnswers,
} from '../types';

interface PeerAnswersOptions {
  readonly self: ConfigurationPeer;
  readonly inForce: InForce;
  readonly history: ConfigurationHistory;
  readonly localDrains: LocalDrains;
  readonly send: (peer: ConfigurationPeer, message: ConfigurationPeerMessage) => void;
}

/** What this host tells peers of its configuration. */
export default function createPeerAnswers(options: PeerAnswersOptions): PeerAnswers {
  const { inForce, history, localDrains, send } = options;
  const { entryHost: from, address: fromAddress } = options.self;

  function tellDrains(receivers: readonly ConfigurationPeer[]): void {
    const drains = localDrains.list();
    if (drains.length > 0) {
      receivers.forEach((peer) => send(peer, { kind: 'localDrainsTold', from, drains }));
    }
  }

  return {
    tellDrains,
    announce(receivers) {
      const generation = inForce.generation();
      receivers.forEach((peer) =>
        send(peer, { kind: 'configurationAnnounced', from, fromAddress, generation }),
      );
    },
    answer(requester, theirs) {
      const configuration = inForce.tryGet();
      if (configuration === undefined || theirs >= configuration.generation) {
        send(requester, { kind: 'configurationNotLater', from });
      } else {
        const patch = history.tryGetPatch(theirs);
        send(
          requester,
          patch === undefined
            ? { kind: 'configurationSent', from, configuration }
            : { kind: 'configurationPatched', from, patch },
        );
      }
      tellDrains([requester]);
    },
    request(peer, have) {
      send(peer, { kind: 'configurationRequested', from, fromAddress, have });
    },
  };
}
