import type { PeerTransport } from '@rattanreel/transport';
import type { ClusterState, HostMessage, PeerQuery } from '../types';

export type RelayTransport = PeerTransport<HostMessage, PeerQuery, ClusterState>;
