import type {
  ConfigurationHistory,
  ConfigurationPeer,
  ConfigurationPeerMessage,
  ActiveConfiguration,
  LocalDrains,
  PeerSender,
} from '../types';

interface PeerSenderOptions {
  readonly self: ConfigurationPeer;
  readonly active: ActiveConfiguration;
  readonly history: ConfigurationHistory;
  readonly localDrains: LocalDrains;
  readonly send: (peer: ConfigurationPeer, message: ConfigurationPeerMessage) => void;
}

/** Sends this host's configuration and local drains to peers. */
export default function createPeerSender(options: PeerSenderOptions): PeerSender {
  const { active, history, localDrains, send } = options;
  const { entryHost: from, address: fromAddress } = options.self;

  function sendLocalDrains(receivers: readonly ConfigurationPeer[]): void {
    const drains = localDrains.list();
    if (drains.length > 0) {
      receivers.forEach((peer) => send(peer, { kind: 'localDrainsTold', from, drains }));
    }
  }

  return {
    sendLocalDrains,
    announce(receivers) {
      const generation = active.generation();
      receivers.forEach((peer) =>
        send(peer, { kind: 'configurationAnnounced', from, fromAddress, generation }),
      );
    },
    answer(requester, peerGeneration) {
      const configuration = active.tryGet();
      if (configuration === undefined || peerGeneration >= configuration.generation) {
        send(requester, { kind: 'configurationNotLater', from });
      } else {
        const patch = history.tryGetPatch(peerGeneration);
        send(
          requester,
          patch === undefined
            ? { kind: 'configurationSent', from, configuration }
            : { kind: 'configurationPatched', from, patch },
        );
      }
      sendLocalDrains([requester]);
    },
    request(peer, have) {
      send(peer, { kind: 'configurationRequested', from, fromAddress, have });
    },
  };
}
