import type { PeerTransport } from '@rattanreel/transport';
import type { Beliefs, HostSummary, PeerQuestion } from '../types';

export type RelayTransport = PeerTransport<HostSummary, PeerQuestion, Beliefs>;
