import type { Milliseconds } from '@rattanreel/core';
import type { RelayTransport } from '../peers/types';
import type { Listening } from '../servers/types';
import type { ListedServer } from '../types';
import type { ForwarderList } from './types';

const PEER_CONNECT_TIMEOUT: Milliseconds = 200;
/** Peers that are asked at once; one that reaches the server is enough. */
const ASKED_PEERS = 4;

interface CheckByPeersOptions {
  readonly server: ListedServer;
  readonly forwarders: ForwarderList;
  readonly perform: RelayTransport['perform'];
  /** Called once: with `accepting` as soon as a peer reaches the server. */
  readonly onChecked: (listening: Listening) => void;
}

/** Asks several peers whether a server listens. */
export default function checkByPeers(options: CheckByPeersOptions): void {
  const { server, forwarders, perform, onChecked } = options;
  const peers = forwarders.choose().slice(0, ASKED_PEERS);
  let openChecks = peers.length;
  let isRefused = false;
  let isDone = false;

  function finish(listening: Listening): void {
    if (!isDone) {
      isDone = true;
      onChecked(listening);
    }
  }

  peers.forEach((peer) =>
    perform(
      peer.address,
      { kind: 'check', server },
      {
        onProgress(progress) {
          if (progress.kind === 'checked' && progress.listening === 'accepting') {
            forwarders.recordWorking(peer);
            finish('accepting');
          }
          isRefused ||= progress.kind === 'checked' && progress.listening === 'refused';
        },
        onEnd() {
          openChecks -= 1;
          if (openChecks === 0) {
            finish(isRefused ? 'refused' : 'unreachable');
          }
        },
      },
      PEER_CONNECT_TIMEOUT,
    ),
  );
  if (peers.length === 0) {
    finish('unreachable');
  }
}
