import type { Clock, Milliseconds } from '@rattanreel/core';
import type { PeerTask } from '@rattanreel/transport';
import type { Attempt, AttemptRequest, AttemptSink } from '../servers/types';
import type { AttemptOutcome, ListedServer, PeerAddress } from '../types';
import type { RelayTransport } from '../peers/types';
import type { ForwarderList, ForwardProgress } from './types';

/** Longest wait for the connection to a peer. */
const PEER_CONNECT_TIMEOUT: Milliseconds = 200;
/** Peers that are asked before a server counts as down. */
const MAXIMUM_PEERS = 4;

interface ForwardAttemptOptions {
  readonly clock: Clock;
  /** The peers to try, the best first. */
  readonly peers: readonly PeerAddress[];
  readonly server: ListedServer;
  readonly request: AttemptRequest;
  readonly sink: AttemptSink;
  readonly forwarders: Pick<ForwarderList, 'recordWorking' | 'recordFailed'>;
  readonly perform: RelayTransport['perform'];
  /** Whether nothing more may be sent to the server, which may become known while peers are asked. */
  readonly isWithheld: () => boolean;
  /** Called once a peer has reached the server. */
  readonly onReached: (peer: PeerAddress) => void;
  /** Called if peers were asked and none could connect to the server. */
  readonly onUnreached: () => void;
}

/**
 * Lets a peer send an attempt to a server. Another peer is asked only while the attempt has
 * certainly not been sent; once a peer may have sent it, its end is the end of the attempt.
 */
export default function forwardAttempt(options: ForwardAttemptOptions): Attempt {
  const { clock, server, request, sink, forwarders } = options;
  const peers = options.peers.slice(0, MAXIMUM_PEERS);
  let task: PeerTask | undefined;
  let isEnded = false;

  function end(outcome: AttemptOutcome): void {
    if (!isEnded) {
      isEnded = true;
      sink.onEnd(outcome);
    }
  }

  function tryPeer(index: number): void {
    const peer = peers[index];
    const { deadline, ...unbound } = request;
    const timeLeft = deadline === undefined ? Infinity : deadline.at - clock.now();
    if (timeLeft <= 0) {
      // Later, since the caller does not have the attempt yet.
      clock.after(0, () => end({ kind: 'notSent', reason: 'deadlinePassed' }));
      return;
    }
    const isWithheld = options.isWithheld();
    if (peer === undefined || isWithheld) {
      if (index > 0 && !isWithheld) {
        options.onUnreached();
      }
      // Later, since the caller does not have the attempt yet.
      clock.after(0, () => end({ kind: 'notConnected' }));
      return;
    }
    let isMovedOn = false;
    const tryNext = (): void => {
      if (!isMovedOn && !isEnded) {
        isMovedOn = true;
        forwarders.recordFailed(peer);
        tryPeer(index + 1);
      }
    };
    const handleProgress = (progress: ForwardProgress): void => {
      if (isEnded || isMovedOn) {
        return;
      }
      switch (progress.kind) {
        case 'head':
          forwarders.recordWorking(peer);
          options.onReached(peer);
          sink.onHead(progress.head);
          return;
        case 'data':
          if (!sink.onData(Buffer.from(progress.chunk))) {
            task?.pause();
          }
          return;
        case 'end':
          if (progress.outcome.kind === 'notConnected') {
            tryNext();
          } else {
            end(progress.outcome);
          }
          return;
        case 'checked':
          return;
        default:
          progress satisfies never;
      }
    };
    task = options.perform(
      peer.address,
      {
        kind: 'attempt',
        server,
        request: unbound,
        ...(deadline !== undefined && { deadline: { header: deadline.header, timeLeft } }),
      },
      {
        onProgress: handleProgress,
        onEnd(how) {
          if (how === 'unreachable') {
            tryNext();
          } else if (!isMovedOn) {
            end({ kind: 'broken', reason: 'forwarding host lost' });
          }
        },
      },
      PEER_CONNECT_TIMEOUT,
    );
  }

  tryPeer(0);
  return {
    abort(reason) {
      task?.cancel();
      end({ kind: 'aborted', reason });
    },
    resume: () => task?.resume(),
  };
}
