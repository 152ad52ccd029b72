import { createPeerTransport } from '@rattanreel/transport';
import type { PeerIdentity } from '@rattanreel/transport';
import type { ClusterState, HostMessage, PeerQuery } from '../types';
import type { RelayTransport } from './types';

interface RelayTransportOptions {
  readonly identity: PeerIdentity;
  /** HOST:PORT. */
  readonly listenAddress: string;
  readonly onMessage: (message: HostMessage) => void;
  readonly getClusterState: () => ClusterState;
}

/** Opens the transport between hosts. Throws if it cannot listen on the address. */
export default async function openRelayTransport(
  options: RelayTransportOptions,
): Promise<RelayTransport> {
  const opened = await createPeerTransport<HostMessage, PeerQuery, ClusterState>({
    identity: options.identity,
    listenAddress: options.listenAddress,
    security: { kind: 'plainTrustedNetwork' },
    onMessage: ({ body }) => options.onMessage(body),
    onQuestion: async () => options.getClusterState(),
  });
  if (opened.kind === 'error') {
    throw new Error(`cannot listen on peer address ${opened.error.address}: ${opened.error.kind}`);
  }
  return opened.value;
}
