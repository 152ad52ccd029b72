import type { Clock, Milliseconds, Outcome, Random, Timer } from '@rattanreel/core';
import type {
  ListedObjects,
  StoredObject,
  StoreError,
  StoreTransport,
  Watch,
  WatchEvent,
  WatchLine,
} from './types';

const INITIAL_BACKOFF: Milliseconds = 100;
const BACKOFF_FACTOR = 2;

interface WatchOptions<Value> {
  readonly transport: StoreTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly objectKind: string;
  readonly prefix: string;
  readonly listener: (event: WatchEvent<Value>) => void;
  readonly list: () => Promise<Outcome<ListedObjects<Value>, StoreError>>;
  readonly tryTakeCall: () => boolean;
  readonly idleTimeout: Milliseconds;
  readonly relistInterval: Milliseconds;
  /** Longest backoff between two attempts to watch. */
  readonly maximumBackoff: Milliseconds;
}

/**
 * Lists the objects, then follows their changes. A connection that ends is opened again. One that
 * is idle for too long is replaced after a new list, and so is every connection from time to time.
 */
export default function createWatch<Value>(options: WatchOptions<Value>): Watch {
  const { transport, clock, random, objectKind, prefix, listener } = options;
  let connection: Watch | undefined;
  let idleTimer: Timer | undefined;
  let relistTimer: Timer | undefined;
  let backoffTimer: Timer | undefined;
  let lastVersion = -1;
  let failures = 0;
  let isClosed = false;

  function disconnect(): void {
    idleTimer?.cancel();
    relistTimer?.cancel();
    backoffTimer?.cancel();
    connection?.close();
    connection = undefined;
  }

  function jitter(span: Milliseconds): Milliseconds {
    return span * (0.5 + random.next() / 2);
  }

  function runAfterBackoff(action: () => void): void {
    disconnect();
    failures += 1;
    const ceiling = Math.min(options.maximumBackoff, INITIAL_BACKOFF * BACKOFF_FACTOR ** failures);
    backoffTimer = clock.after(jitter(ceiling), action);
  }

  function restartIdleTimer(): void {
    idleTimer?.cancel();
    idleTimer = clock.after(options.idleTimeout, relist);
  }

  function deliverChange(version: number, event: WatchEvent<Value>): void {
    if (version > lastVersion) {
      lastVersion = version;
      listener(event);
    }
  }

  function handleLine(line: WatchLine): void {
    failures = line.kind === 'ended' ? failures : 0;
    restartIdleTimer();
    switch (line.kind) {
      case 'changed':
        deliverChange(line.object.version, {
          kind: 'changed',
          object: line.object as StoredObject<Value>,
        });
        return;
      case 'removed':
        deliverChange(line.version, line);
        return;
      case 'bookmark':
        lastVersion = Math.max(lastVersion, line.version);
        return;
      case 'ended':
        runAfterBackoff(line.reason === 'tooOld' ? relist : connect);
        return;
      default:
        line satisfies never;
    }
  }

  function connect(): void {
    disconnect();
    if (isClosed) {
      return;
    }
    if (!options.tryTakeCall()) {
      runAfterBackoff(connect);
      return;
    }
    restartIdleTimer();
    relistTimer = clock.after(jitter(options.relistInterval), relist);
    let isCurrent = true;
    const opened = transport.openWatch({ objectKind, prefix, after: lastVersion }, (line) => {
      if (isCurrent && !isClosed) {
        handleLine(line);
      }
    });
    connection = {
      close() {
        isCurrent = false;
        opened.close();
      },
    };
  }

  async function listAndConnect(): Promise<void> {
    disconnect();
    const listed = await options.list();
    if (isClosed) {
      return;
    }
    if (listed.kind === 'error') {
      listener({ kind: 'lost', error: listed.error });
      runAfterBackoff(relist);
      return;
    }
    if (listed.value.version < lastVersion) {
      runAfterBackoff(relist);
      return;
    }
    lastVersion = listed.value.version;
    listener({ kind: 'listed', list: listed.value });
    connect();
  }

  /** Lists the objects again and reconnects. A listener that throws must not end the watch. */
  function relist(): void {
    listAndConnect().catch(() => runAfterBackoff(relist));
  }

  relist();
  return {
    close() {
      isClosed = true;
      disconnect();
    },
  };
}
