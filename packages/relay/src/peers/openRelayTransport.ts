import { createPeerTransport } from '@rattanreel/transport';
import type { ForwardProgress, ForwardTask } from '../forwarding/types';
import type { ClusterState, PeerQuery } from '../types';
import type { RelayTransport, RelayTransportOptions, HostMessage } from './types';

/** Opens the transport between hosts. Throws if it cannot listen on the address. */
export default async function openRelayTransport(
  options: RelayTransportOptions,
): Promise<RelayTransport> {
  const opened = await createPeerTransport<
    HostMessage,
    PeerQuery,
    ClusterState,
    ForwardTask,
    ForwardProgress
  >({
    identity: options.identity,
    listenAddress: options.listenAddress,
    security: { kind: 'plainTrustedNetwork' },
    onMessage: ({ from, body }, respond) => options.onMessage(from, body, respond),
    onQuestion: async ({ body }) => options.getClusterState(body),
    onTask: ({ body }, reporter) => options.onTask(body, reporter),
  });
  if (opened.kind === 'error') {
    throw new Error(`cannot listen on peer address ${opened.error.address}: ${opened.error.kind}`);
  }
  return opened.value;
}
