import type { PeerIdentity, PeerTransport } from '@rattanreel/transport';
import type { ForwardProgress, ForwardReporter, ForwardTask } from '../forwarding/types';
import type { ClusterState, FindingsReport, HostMessage, PeerQuery } from '../types';

export type RelayTransport = PeerTransport<
  HostMessage,
  PeerQuery,
  ClusterState,
  ForwardTask,
  ForwardProgress
>;

export interface RelayTransportOptions {
  readonly identity: PeerIdentity;
  /** HOST:PORT. */
  readonly listenAddress: string;
  readonly onMessage: (
    sender: PeerIdentity,
    message: HostMessage,
    respond: (response: HostMessage) => void,
  ) => void;
  readonly getClusterState: (query: PeerQuery) => ClusterState;
  /** Begins a task of a peer; returns the function that cancels it. */
  readonly onTask: (task: ForwardTask, reporter: ForwardReporter) => () => void;
}

/** Opens the transport between hosts. Rejects if it cannot listen on the address. */
export type OpenTransport = (options: RelayTransportOptions) => Promise<RelayTransport>;

/** What this host has found out, or learnt from others. */
export interface Findings {
  merge(report: FindingsReport): void;
  /** Returns what other hosts should know; undefined if there is nothing. */
  tryGetReport(): FindingsReport | undefined;
}
