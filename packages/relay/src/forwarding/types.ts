/** Types of attempts that another host sends, since this one cannot reach the backend server. */
import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type { PeerTransport, TaskReporter } from '@rattanreel/transport';
import type { AttemptRequest, Listening, ResponseHead, ServerConnections } from '../servers/types';
import type { AttemptOutcome, ListedServer, PeerAddress } from '../types';

/** What a host asks a peer to do on its own links to a backend server. */
export type ForwardTask =
  | {
      readonly kind: 'attempt';
      readonly server: ListedServer;
      readonly request: Omit<AttemptRequest, 'body' | 'deadline'> & { readonly body: Uint8Array };
      /**
       * Header of the deadline and the time left until it, since clocks of two hosts are never
       * compared; absent in tasks of earlier versions.
       */
      readonly deadline?: { readonly header: string; readonly timeLeft: Milliseconds };
    }
  | { readonly kind: 'check'; readonly server: ListedServer };

export type ForwardProgress =
  | { readonly kind: 'head'; readonly head: ResponseHead }
  | { readonly kind: 'data'; readonly chunk: Uint8Array }
  /** How the attempt ended, as the peer has seen it; always the last report. */
  | { readonly kind: 'end'; readonly outcome: AttemptOutcome }
  | { readonly kind: 'checked'; readonly listening: Listening };

export type ForwardReporter = TaskReporter<ForwardProgress>;

/** Performs the tasks of peers. */
export interface ForwardedTasks {
  /** Begins a task; returns the function that cancels it. */
  begin(task: ForwardTask, reporter: ForwardReporter): () => void;
  /** Returns the number of attempts in flight for peers. */
  countActive(): number;
}

/** The links to the backend servers: this host's own, and those of peers where these are cut. */
export interface ForwardingConnections extends ServerConnections {
  /** Whether this host reaches a server only through peers. */
  isCut(server: ListedServer): boolean;
  /** Whether this host knows that nothing more may be sent to a server. */
  isWithheld(server: ListedServer): boolean;
  /** Counts the servers that this host reaches only through peers. */
  countCut(): number;
}

/** The link to the peers that may send attempts for this host. */
export interface ForwardingLink {
  readonly perform: PeerTransport<
    unknown,
    unknown,
    unknown,
    ForwardTask,
    ForwardProgress
  >['perform'];
  /** Lists the peers that are likely to be reachable. */
  listPeers(): readonly PeerAddress[];
  /** Lists the peers whose event loop is late. */
  listLatePeers(): ReadonlySet<EntryHostId>;
}

export interface Forwarding {
  readonly connections: ForwardingConnections;
  readonly tasks: ForwardedTasks;
}

/** Whether this host reaches a backend server by itself. */
export interface ServerPaths {
  /** Whether requests to a server must be forwarded. */
  isCut(server: ListedServer): boolean;
  /** Records that a server has answered this host itself. */
  recordReached(server: ListedServer): void;
  /** Records that a peer reaches a server that this host does not reach. */
  recordCut(server: ListedServer): void;
  /**
   * Records that a server has not answered for a while; finds out whether it is the path to it that
   * is cut.
   */
  recordSilent(server: ListedServer): void;
  /** Returns whether neither this host nor peers could connect to a server a moment ago. */
  isDown(server: ListedServer): boolean;
  /** Records that peers could not connect to a server either. */
  recordDown(server: ListedServer): void;
  /** Checks whether a server listens, with the help of peers if this host cannot tell. */
  check(server: ListedServer, onChecked: (listening: Listening) => void): void;
  retainServers(servers: readonly ListedServer[]): void;
  /** Counts the servers that this host does not reach. */
  countCut(): number;
  stop(): void;
}

/** The peers that may send attempts for this host. */
export interface ForwarderList {
  /** Lists the peers to try, the best first. */
  choose(): readonly PeerAddress[];
  recordWorking(peer: PeerAddress): void;
  /** Records that a peer could not be asked, or could not reach a server either. */
  recordFailed(peer: PeerAddress): void;
}
