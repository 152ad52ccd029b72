import type { CallerMemory } from '@rattanreel/connections';
import { Debug } from '@rattanreel/core';
import { createPeerTransport } from '@rattanreel/transport';
import type { HandledInput, PeerListener } from '@rattanreel/transport';
import type { ForwardProgress, ForwardTask } from '../forwarding/types';
import type { ClusterState, PeerQuery } from '../types';
import isHostMessage from './isHostMessage';
import type { RelayTransport, RelayTransportOptions, HostMessage } from './types';

interface OpenRelayTransportOptions extends RelayTransportOptions {
  /** Called with what went wrong when what a peer sent cannot be handled. */
  readonly onHandlerError: (input: HandledInput, error: unknown) => void;
  /** Listens on the address. */
  readonly listener: PeerListener;
  /** Bytes of incomplete messages that all peers together may send. */
  readonly incompleteBytes: number;
  /** Calls of all peers at once. */
  readonly maximumCalls: number;
  readonly callerMemory: Pick<CallerMemory, 'recordReceived'>;
}

/** Opens the transport between hosts. */
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
    listener: options.listener,
    incompleteBytes: options.incompleteBytes,
    maximumCalls: options.maximumCalls,
    recordReceived: options.callerMemory.recordReceived,
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
  return Debug.checkDefined(opened.kind === 'ok' ? opened.value : undefined, 'relay transport');
}
