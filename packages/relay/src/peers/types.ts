import type { PeerIdentity, PeerTransport } from '@rattanreel/transport';
import type { ForwardProgress, ForwardReporter, ForwardTask } from '../forwarding/types';
import type { SchedulerRequest, SchedulerResponse } from '../admission/types';
import type { ClusterState, HostChange, HostSummary, PeerQuery } from '../types';
import type { FindingsReport } from '../findings/types';

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

/** Opens the transport between hosts. */
export type OpenTransport = (options: RelayTransportOptions) => Promise<RelayTransport>;

/** Messages between hosts; kinds that a host does not know are ignored. */
export type HostMessage =
  HostSummary | HostChange | SchedulerRequest | SchedulerResponse | FindingsReport;
