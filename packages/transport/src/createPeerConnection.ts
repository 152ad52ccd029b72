import { makeGenericClientConstructor, status } from '@grpc/grpc-js';
import type { ClientDuplexStream, ClientReadableStream, ServiceError } from '@grpc/grpc-js';
import { fail, ok } from '@rattanreel/core';
import type { Milliseconds, Outcome } from '@rattanreel/core';
import maximumMessageBytes from './maximumMessageBytes';
import type {
  Envelope,
  PeerConnection,
  PeerConnectionOptions,
  PeerError,
  TaskListener,
} from './types';

const KEEPALIVE_INTERVAL_MS = 1_000;
const KEEPALIVE_TIMEOUT_MS = 1_000;
const MAXIMUM_RECONNECT_BACKOFF_MS = 500;

/** Number of messages buffered for a slow peer before further ones are dropped. */
const MAXIMUM_BUFFERED_MESSAGES = 4_096;

function toPeerError(error: ServiceError): PeerError {
  return error.code === status.UNAVAILABLE
    ? { kind: 'unreachable', detail: error.details }
    : { kind: 'noAnswer', detail: error.details };
}

/**
 * Creates a connection to one peer. It reconnects automatically and detects dead connections by
 * keepalive.
 */
export default function createPeerConnection(options: PeerConnectionOptions): PeerConnection {
  const { address, credentials, service, guard, onMessage } = options;
  const PeerClient = makeGenericClientConstructor({ ...service }, 'Peer');
  const client = new PeerClient(address, credentials, {
    'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
    'grpc.keepalive_permit_without_calls': 1,
    'grpc.initial_reconnect_backoff_ms': 100,
    'grpc.max_reconnect_backoff_ms': MAXIMUM_RECONNECT_BACKOFF_MS,
    // A retry by the library could deliver a question twice.
    'grpc.enable_retries': 0,
    'grpc.max_receive_message_length': maximumMessageBytes,
    'grpc.max_send_message_length': maximumMessageBytes,
  });
  let stream: ClientDuplexStream<Envelope<unknown>, Envelope<unknown>> | undefined;

  function openStream(): ClientDuplexStream<Envelope<unknown>, Envelope<unknown>> {
    const opened = client.exchange!() as ClientDuplexStream<Envelope<unknown>, Envelope<unknown>>;
    const forget = (): void => {
      if (stream === opened) {
        stream = undefined;
      }
    };
    opened.on('data', (envelope: Envelope<unknown>) =>
      guard.tryRun('message', () => onMessage(envelope)),
    );
    opened.on('error', forget);
    opened.on('end', forget);
    return opened;
  }

  return {
    send(envelope) {
      stream ??= openStream();
      if (stream.writableLength < MAXIMUM_BUFFERED_MESSAGES) {
        stream.write(envelope);
      }
    },
    ask(envelope: Envelope<unknown>, timeout: Milliseconds) {
      return new Promise<Outcome<unknown, PeerError>>((resolve) => {
        client.ask!(
          envelope,
          { deadline: new Date(Date.now() + timeout) },
          (error: ServiceError | null, answer?: Envelope<unknown>) => {
            resolve(error === null ? ok(answer?.body) : fail(toPeerError(error)));
          },
        );
      });
    },
    perform(envelope, listener: TaskListener<unknown>, connectTimeout) {
      let call: ClientReadableStream<Envelope<unknown>> | undefined;
      let isEnded = false;
      const end = (how: 'unreachable' | 'ended'): void => {
        if (!isEnded) {
          isEnded = true;
          listener.onEnd(how);
        }
      };
      client.waitForReady(Date.now() + connectTimeout, (error) => {
        if (isEnded) {
          return;
        }
        if (error !== undefined) {
          end('unreachable');
          return;
        }
        call = client.perform!(envelope) as ClientReadableStream<Envelope<unknown>>;
        call.on('data', ({ body }: Envelope<unknown>) => {
          if (!isEnded) {
            guard.tryRun('progress', () => listener.onProgress(body));
          }
        });
        call.on('error', () => end('ended'));
        call.on('end', () => end('ended'));
      });
      return {
        cancel() {
          isEnded = true;
          call?.cancel();
        },
        pause: () => call?.pause(),
        resume: () => call?.resume(),
      };
    },
    close() {
      stream?.end();
      client.close();
    },
  };
}
