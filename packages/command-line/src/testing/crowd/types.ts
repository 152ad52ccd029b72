/** Types of crowds: many connections of callers that send as much as they can. */

/** Bytes on a connection: `text` is sent `count` times. */
export interface Repeated {
  readonly text: string;
  readonly count: number;
}

/** What a connection does once it has sent all of its bytes. */
export type CrowdReader =
  /** Reads responses, and stays open until the end of the crowd. */
  | 'reads'
  /** Reads nothing, and stays open until the end of the crowd. */
  | 'readsNothing'
  /** Leaves at the first byte of a response, and comes again. */
  | 'leavesAndReturns';

interface CrowdBase {
  readonly port: number;
  readonly connections: number;
}

/** A crowd that sends the same bytes on each of its connections. */
export interface ByteCrowd extends CrowdBase {
  readonly kind: 'bytes';
  readonly parts: readonly Repeated[];
  readonly reader: CrowdReader;
  /** Times that each connection is opened; 1 if absent. */
  readonly visits?: number;
}

/** A crowd of HTTP/2 sessions, each with streams that send a part of one gRPC message. */
export interface MessageCrowd extends CrowdBase {
  readonly kind: 'messages';
  readonly path: string;
  readonly streams: number;
  readonly announcedBytes: number;
  readonly sentBytes: number;
}

export type Crowd = ByteCrowd | MessageCrowd;

/** A crowd in a process of its own. */
export interface RunningCrowd {
  /** Resolves when no connection has sent or received a byte for a while, or after a time limit. */
  readonly settled: Promise<void>;
  /** Closes all connections. */
  leave(): Promise<void>;
}

/** Largest use of resources that was seen of one process. */
export interface ProcessPeaks {
  readonly residentMegabytes: number;
  /** Resident memory and the bytes that its connections have received and it has not read. */
  readonly memoryMegabytes: number;
  readonly descriptors: number;
}
