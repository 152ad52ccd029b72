/** Typed messages between entry hosts: one-way messages and questions with an answer. */
import type { ChannelCredentials, MethodDefinition, ServerCredentials } from '@grpc/grpc-js';
import type { EntryHostId, Incarnation, Milliseconds, Outcome } from '@rattanreel/core';

/** Who sent a message. */
export interface PeerIdentity {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
}

/** What goes over the wire for every message. */
export interface Envelope<Body> {
  readonly from: PeerIdentity;
  readonly body: Body;
}

/** Why a question got no answer. */
export type PeerError =
  /** The connection failed. When it failed late the peer may still have seen the question. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The peer did not answer in time, or failed to. */
  | { readonly kind: 'noAnswer'; readonly detail: string };

/** Certificates by file, reloaded on change, or plain text on loopback addresses. */
export type PeerSecurity =
  | {
      readonly kind: 'mutualTls';
      readonly certificateFile: string;
      readonly privateKeyFile: string;
      readonly authorityFile: string;
    }
  | { readonly kind: 'plainLoopback' }
  /** Plain text between hosts of a network that operators keep to themselves, where no certificates are given. */
  | { readonly kind: 'plainTrustedNetwork' };

/** Settings that cannot be honoured. */
export interface TransportSettingsError {
  readonly kind: 'plainTextOffLoopback';
  readonly address: string;
}

export interface PeerTransportOptions<Message, Question, Answer> {
  readonly identity: PeerIdentity;
  /** Address to listen on, host:port; port 0 takes any. */
  readonly listenAddress: string;
  readonly security: PeerSecurity;
  readonly onMessage: (envelope: Envelope<Message>) => void;
  readonly onQuestion: (envelope: Envelope<Question>) => Promise<Answer>;
  /** Longest wait for an answer. */
  readonly answerTimeout?: Milliseconds;
}

export interface PeerTransport<Message, Question, Answer> {
  /** The address in use. */
  readonly address: string;
  /** Sends without an answer; the message may be lost, and arrives in order with its neighbours or not at all. */
  send(peerAddress: string, message: Message): void;
  ask(
    peerAddress: string,
    question: Question,
    timeout?: Milliseconds,
  ): Promise<Outcome<Answer, PeerError>>;
  /** Bytes sent and received so far, as encoded. */
  traffic(): PeerTraffic;
  close(): Promise<void>;
}

export interface PeerTraffic {
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly bytesReceived: number;
}

/** Credentials of both directions. */
export interface PeerCredentials {
  readonly client: ChannelCredentials;
  readonly server: ServerCredentials;
}

/** The sending side towards one peer. */
export interface PeerConnection {
  send(envelope: Envelope<unknown>): void;
  ask(envelope: Envelope<unknown>, timeout: Milliseconds): Promise<Outcome<unknown, PeerError>>;
  close(): void;
}

/** Learns the encoded size in bytes of each message. */
export interface TrafficCounter {
  recordSent(bytes: number): void;
  recordReceived(bytes: number): void;
}

/** The methods of the gRPC service between entry hosts. */
export interface PeerService {
  readonly exchange: MethodDefinition<Envelope<unknown>, Envelope<unknown>>;
  readonly ask: MethodDefinition<Envelope<unknown>, Envelope<unknown>>;
}
