import { Server } from '@grpc/grpc-js';
import type {
  sendUnaryData,
  ServerDuplexStream,
  ServerUnaryCall,
  ServerWritableStream,
  UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { fail, ok, parseAddress } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import createPeerConnection from './createPeerConnection';
import createCallInterceptor from './createCallInterceptor';
import createHandlerGuard from './createHandlerGuard';
import createMessageMeter from './createMessageMeter';
import createPeerIntake from './createPeerIntake';
import createPeerCredentials from './createPeerCredentials';
import isLoopbackAddress from './isLoopbackAddress';
import listenForPeers from './listenForPeers';
import createPeerService from './createPeerService';
import maximumMessageBytes from './maximumMessageBytes';
import type {
  Envelope,
  PeerConnection,
  PeerError,
  PeerTransport,
  PeerTransportError,
  PeerTransportOptions,
} from './types';

const DEFAULT_ANSWER_TIMEOUT_MS = 2_000;
/** Number of responses buffered for a slow peer before further ones are dropped. */
const MAXIMUM_BUFFERED_MESSAGES = 4_096;
/** Calls of one peer at once: its stream of messages, its questions and its tasks. */
const MAXIMUM_CONCURRENT_CALLS = 64;

/** Ends a call; calls back once, when the peer's flow control has taken all of it or the call is over. */
function endCall(
  call: ServerWritableStream<Envelope<unknown>, Envelope<unknown>>,
  onSent: () => void = () => undefined,
): void {
  let isSent = false;
  const notify = (): void => {
    if (!isSent) {
      isSent = true;
      onSent();
    }
  };
  if (call.destroyed || call.cancelled) {
    notify();
    return;
  }
  ['finish', 'close', 'cancelled', 'error'].forEach((event) => call.once(event, notify));
  call.end();
}

/**
 * Creates a transport that listens for peers and connects to them on first use. Waits until the
 * listening address is available. Fails with `plainTextOffLoopback` when plain text is configured for
 * an address that is not loopback, and with the reason if it cannot listen.
 */
export default async function createPeerTransport<
  Message,
  Question,
  Answer,
  Task = never,
  Progress = never,
>(
  options: PeerTransportOptions<Message, Question, Answer, Task, Progress>,
): Promise<Outcome<PeerTransport<Message, Question, Answer, Task, Progress>, PeerTransportError>> {
  const { identity, listenAddress, security, onMessage, onQuestion } = options;
  if (security.kind === 'plainLoopback' && !isLoopbackAddress(listenAddress)) {
    return fail({ kind: 'plainTextOffLoopback', address: listenAddress });
  }
  const peerCredentials = createPeerCredentials(security);
  const guard = createHandlerGuard(options.onHandlerError);
  const connections = new Map<string, PeerConnection>();
  let closed = false;

  const intake = createPeerIntake({
    bytes: options.incompleteBytes ?? Infinity,
    calls: options.maximumCalls ?? Infinity,
    recordReceived: options.recordReceived,
  });
  const meter = createMessageMeter(intake);
  const service = createPeerService(meter);

  /** Returns undefined after `close`, and for an address to which nothing can be sent. */
  function tryGetConnection(address: string): PeerConnection | undefined {
    let connection = connections.get(address);
    if (closed) {
      return undefined;
    }
    if (connection === undefined && parseAddress(address).kind === 'address') {
      const send = (message: Message): void => connection?.send({ from: identity, body: message });
      connection = createPeerConnection({
        address,
        credentials: peerCredentials.client,
        service,
        guard,
        onMessage: (envelope) => onMessage(envelope as Envelope<Message>, send),
      });
      connections.set(address, connection);
    }
    return connection;
  }

  const implementation: UntypedServiceImplementation = {
    exchange(call: ServerDuplexStream<Envelope<unknown>, Envelope<unknown>>) {
      const respond = (message: Message): void => {
        if (!call.destroyed && call.writableLength < MAXIMUM_BUFFERED_MESSAGES) {
          call.write({ from: identity, body: message });
        }
      };
      call.on('data', (envelope: Envelope<Message>) => {
        meter.recordHandled(call, envelope);
        guard.tryRun('message', () => onMessage(envelope, respond));
      });
      call.on('end', () => call.end());
      call.on('error', () => call.removeAllListeners('data'));
    },
    ask(
      call: ServerUnaryCall<Envelope<unknown>, Envelope<unknown>>,
      reply: sendUnaryData<Envelope<unknown>>,
    ) {
      meter.recordHandled(call, call.request);
      const answered = async (): Promise<Answer> => onQuestion(call.request as Envelope<Question>);
      answered().then(
        (answer) => reply(null, { from: identity, body: answer }),
        (error: Error) => {
          options.onHandlerError('question', error);
          reply(error);
        },
      );
    },
    perform(call: ServerWritableStream<Envelope<unknown>, Envelope<unknown>>) {
      const { onTask } = options;
      meter.recordHandled(call, call.request);
      const cancel =
        onTask &&
        guard.tryRun('task', () =>
          onTask(call.request as Envelope<Task>, {
            report: (progress) => call.destroyed || call.write({ from: identity, body: progress }),
            onDrain: (listener) => call.on('drain', listener),
            end: (onSent) => endCall(call, onSent),
          }),
        );
      if (cancel === undefined) {
        call.end();
        return;
      }
      call.on('cancelled', cancel);
      call.on('error', cancel);
    },
  };

  const server = new Server({
    'grpc.keepalive_time_ms': 1_000,
    'grpc.keepalive_timeout_ms': 1_000,
    // Peers send a keepalive ping on idle connections once a second.
    'grpc.http2.min_ping_interval_without_data_ms': 500,
    'grpc.max_concurrent_streams': MAXIMUM_CONCURRENT_CALLS,
    'grpc.max_receive_message_length': maximumMessageBytes,
    'grpc.max_send_message_length': maximumMessageBytes,
    interceptors: [createCallInterceptor(intake)],
  });
  server.addService({ ...service }, implementation);
  // A server of gRPC cannot be bound again after a failure, and hides the error's code.
  const injector = server.createConnectionInjector(peerCredentials.server);
  const opened =
    options.listener === undefined
      ? await listenForPeers(listenAddress, options.listening)
      : ok(options.listener);
  if (opened.kind === 'error') {
    server.forceShutdown();
    return opened;
  }
  const peerListener = opened.value;
  peerListener.setHandler((socket) => {
    intake.add(socket);
    injector.injectConnection(socket);
  });

  return ok({
    address: peerListener.address,
    send(peerAddress, message) {
      tryGetConnection(peerAddress)?.send({ from: identity, body: message });
    },
    async ask(peerAddress, question, timeout = options.answerTimeout ?? DEFAULT_ANSWER_TIMEOUT_MS) {
      const connection = tryGetConnection(peerAddress);
      if (connection === undefined) {
        const detail = closed ? 'the transport is closed' : 'the address is invalid';
        return fail({ kind: 'unreachable', detail });
      }
      const outcome = await connection.ask({ from: identity, body: question }, timeout);
      return outcome as Outcome<Answer, PeerError>;
    },
    perform(peerAddress, task, listener, connectTimeout) {
      const connection = tryGetConnection(peerAddress);
      if (connection === undefined) {
        // Later, since the caller does not have the task yet.
        queueMicrotask(() => listener.onEnd('unreachable'));
        const ignore = (): void => undefined;
        return { cancel: ignore, pause: ignore, resume: ignore };
      }
      return connection.perform({ from: identity, body: task }, listener, connectTimeout);
    },
    traffic: meter.getTraffic,
    async close() {
      closed = true;
      connections.forEach((connection) => connection.close());
      peerListener.close();
      server.forceShutdown();
    },
  });
}
