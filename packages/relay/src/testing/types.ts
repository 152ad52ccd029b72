import type createHostCore from '../createHostCore';

/** What one host has sent and received since the counts were last reset. */
interface HostTraffic {
  messages: number;
  bytes: number;
  storeCalls: number;
}

/** A host of a test fleet. */
export interface TestHost {
  readonly name: string;
  readonly domain: string;
  readonly core: Awaited<ReturnType<typeof createHostCore>>;
  readonly traffic: HostTraffic;
  /** Neither runs nor receives anything. */
  isDown: boolean;
  /** Receives and runs everything later, as a suspended process does. */
  isFrozen: boolean;
}
