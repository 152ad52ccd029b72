import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import createIntakeConnection from './createIntakeConnection';
import createWorkQueue from './createWorkQueue';
import type { Intake, IntakeEnd, IntakeOptions } from './types';

const CHECK_INTERVAL_MS = 500;
const HTTP_HEAD_TOO_LARGE = 431;
/** Connections that are read after their last response, at once. */
const MAXIMUM_LINGERING = 32;

type Connection = ReturnType<typeof createIntakeConnection>;

/** Shared by all endpoints of the process, which share its processor. */
const queue = createWorkQueue();

/** Creates the bounds on what the callers of one server make the process hold and do. */
export default function createIntake(options: IntakeOptions): Intake {
  const connections = new Map<Socket, Connection>();
  const lingering = new Set<Socket>();
  let timer: NodeJS.Timeout | undefined;

  function onEnd(end: IntakeEnd): void {
    options.onEnd?.(end);
  }

  function scheduleCheck(): void {
    if (timer === undefined && connections.size > 0) {
      timer = setTimeout(() => {
        // After what has arrived meanwhile: the timer may be late.
        setImmediate(() => {
          timer = undefined;
          connections.forEach((connection) => connection.check());
          scheduleCheck();
        });
      }, CHECK_INTERVAL_MS).unref();
    }
  }

  /** Ends the connection that has been idle, or sending one request, for the longest time. */
  function tryEndIdle(): boolean {
    let oldest: Connection | undefined;
    let oldestSince = Infinity;
    connections.forEach((connection) => {
      const since = connection.tryGetIdleSince() ?? Infinity;
      if (since < oldestSince) {
        oldest = connection;
        oldestSince = since;
      }
    });
    oldest?.end('tooManyConnections');
    return oldest !== undefined;
  }

  function accept(socket: Socket, parse: (bytes: Buffer) => void): void {
    if (connections.size >= options.getMaximumConnections() && !tryEndIdle()) {
      onEnd('tooManyConnections');
      socket.destroy();
      return;
    }
    const connection = createIntakeConnection({
      ...options,
      socket,
      parse,
      queue,
      onEnd,
      tryLinger() {
        const mayLinger = lingering.size < MAXIMUM_LINGERING;
        if (mayLinger) {
          lingering.add(socket);
        }
        return mayLinger;
      },
    });
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      lingering.delete(socket);
    });
    scheduleCheck();
  }

  return {
    guard(server) {
      server.on('connection', (socket: Socket) => {
        // The server has added its parser as the listener for data.
        const parsers = socket.listeners('data');
        socket.removeAllListeners('data');
        accept(socket, (bytes) => parsers.forEach((parse) => parse.call(socket, bytes)));
      });
    },
    handle: (listener) => (incoming, outgoing) => {
      const connection = connections.get(incoming.socket);
      if (connection === undefined || connection.tryBegin(incoming, outgoing)) {
        listener(incoming, outgoing);
      } else {
        outgoing.shouldKeepAlive = false;
        outgoing.writeHead(HTTP_HEAD_TOO_LARGE, { 'content-length': 0 }).end();
      }
    },
    tryGetConnection: ({ socket }: IncomingMessage) => connections.get(socket),
  };
}
