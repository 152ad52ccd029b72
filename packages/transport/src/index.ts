/** Typed messages between entry hosts, over gRPC with MessagePack bodies. */
export type {
  Envelope,
  PeerError,
  PeerIdentity,
  PeerSecurity,
  PeerTraffic,
  PeerTransport,
  PeerTransportOptions,
  TransportSettingsError,
} from './types';
export { default as createPeerTransport } from './createPeerTransport';
