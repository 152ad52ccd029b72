import type { PeerTransport } from '@rattanreel/transport';
import type { Beliefs, HostMessage, PeerQuestion } from '../types';

export type RelayTransport = PeerTransport<HostMessage, PeerQuestion, Beliefs>;
