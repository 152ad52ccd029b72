/** A pool at one host: its backend servers, its waiting requests, its budget for repeats. */
import type { BackendServerId, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { AttemptEnd, RefusalReason, ServerAccount, Urgency, WaitingRequest } from '../types';

/** What was measured of one attempt. */
export interface AttemptFigures {
  readonly end: AttemptEnd;
  readonly duration: Milliseconds;
  readonly firstDataAfter: Milliseconds | undefined;
  /** Chunks of data after the first, and the time over which they came. */
  readonly laterChunks: number;
  readonly laterTime: Milliseconds;
}

export type Admission =
  { readonly kind: 'waiting' } | { readonly kind: 'refused'; readonly reason: RefusalReason };

export interface PoolDesk {
  /** Queues a request, or refuses it when it cannot be served in time. */
  ask(request: WaitingRequest): Admission;
  withdraw(request: WaitingRequest): void;
  /** Gives the place of an attempt back. */
  noteEnded(server: ServerAccount, figures: AttemptFigures): void;
  /** Takes in the load that a server told with an answer. */
  noteLoad(server: ServerAccount, running: number, waiting: number): void;
  tryRepeat(): boolean;
  noteRequest(): void;
  /** When a request refused now may come back. */
  getRetryAfter(urgency: Urgency): Milliseconds;
  /** Takes in the other hosts' requests in flight, by server. */
  setOthers(inFlight: ReadonlyMap<BackendServerId, number>): void;
  setHosts(hosts: readonly EntryHostId[]): void;
  /** Serves whoever can be served. */
  pump(): void;
  readonly waiting: number;
  readonly accounts: ReadonlyMap<BackendServerId, ServerAccount>;
}
