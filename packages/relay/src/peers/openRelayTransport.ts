import { createPeerTransport } from '@rattanreel/transport';
import type { PeerIdentity } from '@rattanreel/transport';
import type { Beliefs, HostMessage, PeerQuestion } from '../types';
import type { RelayTransport } from './types';

interface RelayTransportOptions {
  readonly identity: PeerIdentity;
  /** HOST:PORT. */
  readonly listenAddress: string;
  readonly onMessage: (message: HostMessage) => void;
  readonly getBeliefs: () => Beliefs;
}

/** Listens for the other hosts. */
export default async function openRelayTransport(
  options: RelayTransportOptions,
): Promise<RelayTransport> {
  const opened = await createPeerTransport<HostMessage, PeerQuestion, Beliefs>({
    identity: options.identity,
    listenAddress: options.listenAddress,
    security: { kind: 'plainTrustedNetwork' },
    onMessage: ({ body }) => options.onMessage(body),
    onQuestion: async () => options.getBeliefs(),
  });
  if (opened.kind === 'error') {
    throw new Error(`peer address ${opened.error.address}: ${opened.error.kind}`);
  }
  return opened.value;
}
