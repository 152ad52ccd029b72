/** Typed messages between entry hosts, over gRPC with MessagePack bodies. */
export type {
  Envelope,
  HandledInput,
  PeerError,
  PeerIdentity,
  PeerSecurity,
  PeerTask,
  PeerTraffic,
  PeerTransport,
  PeerTransportOptions,
  TaskListener,
  TaskReporter,
  TransportSettingsError,
} from './types';
export { default as createPeerTransport } from './createPeerTransport';
