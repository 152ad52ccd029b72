import { createPeerTransport } from '@rattanreel/transport';
import type { HandledInput } from '@rattanreel/transport';
import type { ForwardProgress, ForwardTask } from '../forwarding/types';
import type { ClusterState, PeerQuery } from '../types';
import isHostMessage from './isHostMessage';
import type { RelayTransport, RelayTransportOptions, HostMessage } from './types';

interface OpenRelayTransportOptions extends RelayTransportOptions {
  /** Called with what went wrong when what a peer sent cannot be handled. */
  readonly onHandlerError: (input: HandledInput, error: unknown) => void;
}

/** Opens the transport between hosts. Throws if it cannot listen on the address. */
export default async function openRelayTransport(
  options: OpenRelayTransportOptions,
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
    onMessage({ from, body }, respond) {
      if (!isHostMessage(body)) {
        throw new TypeError(`malformed message from ${JSON.stringify(from)}`);
      }
      options.onMessage(from, body, respond);
    },
    onHandlerError: options.onHandlerError,
    onQuestion: async ({ body }) => options.getClusterState(body),
    onTask: ({ body }, reporter) => options.onTask(body, reporter),
  });
  if (opened.kind === 'error') {
    throw new Error(`cannot listen on peer address ${opened.error.address}: ${opened.error.kind}`);
  }
  return opened.value;
}
