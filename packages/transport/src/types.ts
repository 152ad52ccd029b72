/** Types of messages between entry hosts: one-way messages and questions with an answer. */
import type { Socket } from 'node:net';
import type { ChannelCredentials, MethodDefinition, ServerCredentials } from '@grpc/grpc-js';
import type { ListenContext, ListenError } from '@rattanreel/connections';
import type { EntryHostId, Incarnation, Milliseconds, Outcome } from '@rattanreel/core';

/** Identity of the sender of a message. */
export interface PeerIdentity {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
}

/** Wire format of every message. */
export interface Envelope<Body> {
  readonly from: PeerIdentity;
  readonly body: Body;
}

/** Reason why a question was not answered. */
export type PeerError =
  /**
   * The connection failed. When it failed after sending, the peer may still have received the
   * question.
   */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The peer did not answer in time, or answered with an error. */
  | { readonly kind: 'noAnswer'; readonly detail: string };

/** Security of connections between peers: certificate files, reloaded on change, or plain text. */
export type PeerSecurity =
  | {
      readonly kind: 'mutualTls';
      readonly certificateFile: string;
      readonly privateKeyFile: string;
      readonly authorityFile: string;
    }
  | { readonly kind: 'plainLoopback' }
  /**
   * Plain text between hosts on a network that only the operators can access, for deployments
   * without certificates.
   */
  | { readonly kind: 'plainTrustedNetwork' };

/** Settings that the transport rejects. */
export interface TransportSettingsError {
  readonly kind: 'plainTextOffLoopback';
  readonly address: string;
}

/** Reason why a transport does not listen. */
export type PeerTransportError = TransportSettingsError | ListenError;

/** Accepts connections of peers; keeps those that arrive before it has a handler. */
export interface PeerListener {
  /** HOST:PORT, with the port that was chosen. */
  readonly address: string;
  setHandler(handler: (socket: Socket) => void): void;
  /** Stops accepting; the connections that were handed over stay open. */
  close(): void;
}

/** A task at a peer. */
export interface PeerTask {
  cancel(): void;
  /** Stops reading what the peer reports until `resume` is called. */
  pause(): void;
  resume(): void;
}

/** Receives what a peer reports of a task; `onEnd` is called once, as the last one. */
export interface TaskListener<Progress> {
  onProgress(progress: Progress): void;
  /** Called with `unreachable` only if the peer has certainly not received the task. */
  onEnd(end: 'unreachable' | 'ended'): void;
}

/** Reports the progress of a task to the peer that asked for it. */
export interface TaskReporter<Progress> {
  /** Returns false when the peer reads more slowly than this host reports. */
  report(progress: Progress): boolean;
  /** Registers a listener that is called each time that the peer can accept more. */
  onDrain(listener: () => void): void;
  /** Ends the task; calls back once, when all reports have been sent or cannot be sent any more. */
  end(onSent?: () => void): void;
}

/** What a handler was called with when it threw. */
export type HandledInput = 'message' | 'question' | 'task' | 'progress';

/** How to listen for peers. */
export interface PeerListening extends ListenContext {
  /** Largest number of connections; unlimited if absent. */
  readonly maximumConnections?: number;
  /** Connections that may wait to be accepted; the system's default if absent. */
  readonly backlog?: number;
}

export interface PeerTransportOptions<Message, Question, Answer, Task = never, Progress = never> {
  readonly identity: PeerIdentity;
  /** Address to listen on, as host:port; port 0 chooses any free port. */
  readonly listenAddress: string;
  /** How to listen; not used with a `listener`. */
  readonly listening?: PeerListening;
  /** Listens on `listenAddress` already; the transport opens one if absent, and closes either. */
  readonly listener?: PeerListener;
  readonly security: PeerSecurity;
  /**
   * Handles a message. `respond` sends a message back on the same connection, without a connection
   * of this host's own; the message is lost if the connection has ended.
   */
  readonly onMessage: (envelope: Envelope<Message>, respond: (message: Message) => void) => void;
  readonly onQuestion: (envelope: Envelope<Question>) => Promise<Answer>;
  /** Begins a task of a peer; returns the function that is called if the peer cancels it. */
  readonly onTask?: (envelope: Envelope<Task>, reporter: TaskReporter<Progress>) => () => void;
  /**
   * Called when a handler throws on what a peer sent. A message is dropped then, a question is
   * answered with an error, and a task ends.
   */
  readonly onHandlerError: (input: HandledInput, error: unknown) => void;
  /** Bytes of incomplete messages that all peers together may send; unlimited if absent. */
  readonly incompleteBytes?: number;
  /** Calls of all peers at once; unlimited if absent. */
  readonly maximumCalls?: number;
  /** Counts bytes that peers have sent. */
  readonly recordReceived?: (bytes: number) => void;
  /** Longest wait for an answer. */
  readonly answerTimeout?: Milliseconds;
}

export interface PeerTransport<Message, Question, Answer, Task = never, Progress = never> {
  /** Address in use, as host:port. */
  readonly address: string;
  /**
   * Sends a message without an answer. The message may be lost; messages to one peer that arrive do
   * so in order.
   */
  send(peerAddress: string, message: Message): void;
  ask(
    peerAddress: string,
    question: Question,
    timeout?: Milliseconds,
  ): Promise<Outcome<Answer, PeerError>>;
  /**
   * Lets a peer perform a task. The task is sent once, after the connection was established within
   * `connectTimeout`.
   */
  perform(
    peerAddress: string,
    task: Task,
    listener: TaskListener<Progress>,
    connectTimeout: Milliseconds,
  ): PeerTask;
  /** Returns the number of messages and encoded bytes sent and received so far. */
  traffic(): PeerTraffic;
  close(): Promise<void>;
}

export interface PeerTraffic {
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly bytesReceived: number;
}

/** Credentials for outgoing and incoming connections. */
export interface PeerCredentials {
  readonly client: ChannelCredentials;
  readonly server: ServerCredentials;
}

/** Outgoing connection to one peer. */
export interface PeerConnection {
  send(envelope: Envelope<unknown>): void;
  ask(envelope: Envelope<unknown>, timeout: Milliseconds): Promise<Outcome<unknown, PeerError>>;
  perform(
    envelope: Envelope<unknown>,
    listener: TaskListener<unknown>,
    connectTimeout: Milliseconds,
  ): PeerTask;
  close(): void;
}

/** Counts messages by their encoded size in bytes. */
export interface TrafficCounter {
  recordSent(bytes: number): void;
  recordReceived(bytes: number, envelope: Envelope<unknown>): void;
}

/** Counts messages, and which of them were handled. */
export interface MessageMeter extends TrafficCounter {
  /** Records that a received message is complete and was handled, by the call that brought it. */
  recordHandled(call: { getPeer(): string }, envelope: Envelope<unknown>): void;
  getTraffic(): PeerTraffic;
}

/** Bounds what peers send without completing it, and their calls. */
export interface PeerIntake {
  add(socket: Socket): void;
  /** Begins a call of a peer (IP:PORT); returns the function that ends it. */
  beginCall(peer: string): () => void;
  /** Records a complete message of a peer (IP:PORT), by its encoded size. */
  recordMessage(peer: string, bytes: number): void;
}

/** Methods of the gRPC service between entry hosts. */
export interface PeerService {
  readonly exchange: MethodDefinition<Envelope<unknown>, Envelope<unknown>>;
  readonly ask: MethodDefinition<Envelope<unknown>, Envelope<unknown>>;
  readonly perform: MethodDefinition<Envelope<unknown>, Envelope<unknown>>;
}

/** Runs handlers so that an exception ends nothing but the handling of what a peer sent. */
export interface HandlerGuard {
  /** Returns the result of the handler; undefined if it throws. */
  tryRun<Result>(input: HandledInput, handler: () => Result): Result | undefined;
}

export interface PeerConnectionOptions {
  /** IP:PORT. */
  readonly address: string;
  readonly credentials: ChannelCredentials;
  readonly service: PeerService;
  readonly guard: HandlerGuard;
  /** Receives what the peer sends back on the stream of messages. */
  readonly onMessage: (envelope: Envelope<unknown>) => void;
}
