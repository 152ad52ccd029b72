/** Typed messages between entry hosts, over gRPC with MessagePack bodies. */
export type {
  Envelope,
  HandledInput,
  PeerError,
  PeerIdentity,
  PeerListener,
  PeerSecurity,
  PeerTask,
  PeerTraffic,
  PeerTransport,
  PeerTransportError,
  PeerTransportOptions,
  TaskListener,
  TaskReporter,
  TransportSettingsError,
} from './types';
export { default as createPeerTransport } from './createPeerTransport';
export { default as listenForPeers } from './listenForPeers';
