import type { Milliseconds } from '@rattanreel/core';
import type { LoopDelay } from '../lateness/types';
import type createHostCore from '../createHostCore';

/** What one host has sent and received since the counts were last reset. */
interface HostTraffic {
  messages: number;
  bytes: number;
  storeCalls: number;
}

/** What a caller asks for; the route follows from the target. */
export interface TestCall {
  /** Parts of the prompt that other calls may share. */
  readonly promptParts?: readonly string[];
  /** Begins with `/`, `/chat/`, `/lookup/` or `/order/`. */
  readonly target?: string;
  readonly body?: string;
  /** Name of the customer; calls of prompts need none. */
  readonly customer?: string;
  /** Time after which the caller gives up and disconnects; without it, it waits for ever. */
  readonly deadline?: Milliseconds;
  /** Whether a caller that gives up leaves its connection open. */
  readonly isLeftOpen?: boolean;
  /** Time that the body took to arrive after the head, before the host handles the request. */
  readonly bodyTime?: Milliseconds;
  /** The only host to which the call is sent; by default any. */
  readonly hostName?: string;
}

/** A call as an engine sees it. */
export type SeenCall = Required<Pick<TestCall, 'promptParts' | 'target' | 'body' | 'customer'>>;

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
  readonly loop: TestLoop;
  readonly loopDelay: LoopDelay;
  /** How far the host's wall clock is ahead; absent if it is right. */
  wallOffset?: number;
}

/** Event loop of a test host, which can be blocked. */
export interface TestLoop {
  /** Holds timers and arrivals back for a time; afterwards timers run first. */
  block(span: Milliseconds): void;
  /** Runs a callback, once the loop is not blocked. */
  run(kind: 'timer' | 'arrival', callback: () => void): void;
}

/**
 * How a host is cut off from engines: nothing passes; connections are reset and new ones refused; or
 * the connections that exist live on and new ones are refused.
 */
export type EngineCut = 'hang' | 'reset' | 'refuseNew';

/** A host that was disturbed, and when that ended. */
export interface Trouble {
  readonly host: TestHost;
  readonly until: Milliseconds;
}
