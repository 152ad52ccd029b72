/** Types of the load and the speed of backend servers, as the servers report them. */
import type { BackendServerId, Milliseconds } from '@rattanreel/core';

/** What a server reported with a response. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  /** Multiple of the usual time that work takes; undefined if the server does not report it. */
  readonly slowdown?: number;
}

/** A server's load as passed on to another host, whose clock is not compared with this one's. */
export interface AgedServerLoad extends ServerLoad {
  readonly age: Milliseconds;
}

/** A reported slowdown with its age: `[slowdown, age]`. */
export type SpeedReport = readonly [slowdown: number, age: Milliseconds];

/** Reported slowdowns by server; servers that were not slow of late are left out. */
export type SpeedReports = Readonly<Record<BackendServerId, SpeedReport>>;

export interface SpeedObservation {
  readonly slowdown: number;
  readonly observedAt: Milliseconds;
}

/** The slowdowns of servers as this host knows them. */
export interface ServerSpeeds {
  /**
   * Records a slowdown that a server reported to this host, or to a host that it schedules. Returns
   * whether the server's speed has changed so much that other hosts should know at once.
   */
  record(server: BackendServerId, observation: SpeedObservation): boolean;
  /** Records slowdowns that other hosts observed. */
  merge(reports: SpeedReports, now: Milliseconds): void;
  /** Returns the slowdown to expect of a server now; 1 if nothing is known. */
  getSlowdown(server: BackendServerId, now: Milliseconds): number;
  /** Returns the number of servers that are expected to be slow. */
  countSlow(now: Milliseconds): number;
  tryGetLatest(server: BackendServerId): SpeedObservation | undefined;
  /** Returns whether a server was known to be slow at any time since `since`. */
  wasSlowSince(server: BackendServerId, since: Milliseconds): boolean;
  /**
   * Returns this host's own observations of servers that were slow of late; undefined if there are
   * none.
   */
  tryGetReports(now: Milliseconds): SpeedReports | undefined;
  retainServers(servers: ReadonlySet<BackendServerId>): void;
}
