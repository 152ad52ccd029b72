import { Debug, fail, ok } from '@rattanreel/core';
import type { Milliseconds, Outcome } from '@rattanreel/core';
import createRetryingTransport from './createRetryingTransport';
import createWatch from './createWatch';
import type {
  ListedObjects,
  ListOptions,
  ObjectStoreOptions,
  PlatformClient,
  StoreCall,
  StoredObject,
  StoreError,
  StoreReply,
  StoreTransport,
  Watch,
} from './types';

const DEFAULT_WATCH_IDLE_TIMEOUT: Milliseconds = 15_000;
const DEFAULT_RELIST_INTERVAL: Milliseconds = 60_000;
const DEFAULT_MAXIMUM_WATCH_BACKOFF: Milliseconds = 5_000;
const DEFAULT_RETRY_AFTER: Milliseconds = 1_000;

interface StoreOverTransportOptions extends ObjectStoreOptions {
  readonly transport: StoreTransport;
}

/** Converts a reply that is not a success for its call into an error. */
function toStoreError(call: StoreCall, reply: StoreReply): StoreError {
  switch (reply.kind) {
    case 'notFound':
      return { kind: 'notFound' };
    case 'conflict':
      return { kind: 'conflict', current: reply.current };
    case 'refused':
      return { kind: 'unavailable', retryAfterMilliseconds: reply.retryAfter };
    case 'lost':
      return isWrite(call)
        ? { kind: 'outcomeUnknown' }
        : { kind: 'unavailable', retryAfterMilliseconds: DEFAULT_RETRY_AFTER };
    case 'invalid':
      return { kind: 'invalidAnswer', detail: reply.detail };
    case 'object':
    case 'list':
    case 'removed':
    case 'hosts':
      return { kind: 'invalidAnswer', detail: `${reply.kind} answers ${call.kind}` };
    default:
      return Debug.assertNever(reply);
  }
}

function isWrite(call: StoreCall): boolean {
  return call.kind === 'create' || call.kind === 'update' || call.kind === 'remove';
}

/**
 * Creates the object API over any transport, with call budgets, retries, typed errors and watches.
 */
export default function createObjectStore(options: StoreOverTransportOptions): PlatformClient {
  const { transport, clock, random } = options;
  const retryingTransport = createRetryingTransport(options);
  const watches = new Set<Watch>();
  let isClosed = false;

  async function callForObject<Value>(
    call: StoreCall,
  ): Promise<Outcome<StoredObject<Value>, StoreError>> {
    const result = await retryingTransport.call(call);
    if (result.kind === 'error') {
      return result;
    }
    const reply = result.value;
    return reply.kind === 'object'
      ? ok(reply.object as StoredObject<Value>)
      : fail(toStoreError(call, reply));
  }

  async function list<Value>(
    objectKind: string,
    { prefix = '', allowStale = false }: ListOptions = {},
  ): Promise<Outcome<ListedObjects<Value>, StoreError>> {
    const call: StoreCall = { kind: 'list', objectKind, prefix, allowStale };
    const result = await retryingTransport.call(call);
    if (result.kind === 'error') {
      return result;
    }
    const reply = result.value;
    return reply.kind === 'list'
      ? ok(reply.list as ListedObjects<Value>)
      : fail(toStoreError(call, reply));
  }

  return {
    get: (objectKind, name) => callForObject({ kind: 'get', objectKind, name }),
    list,
    create: (objectKind, name, value) => callForObject({ kind: 'create', objectKind, name, value }),
    update: (objectKind, name, value, version) =>
      callForObject({ kind: 'update', objectKind, name, value, version }),
    updateStatus: (objectKind, name, value, version) =>
      callForObject({ kind: 'update', part: 'status', objectKind, name, value, version }),
    async remove(objectKind, name, version) {
      const call: StoreCall = { kind: 'remove', objectKind, name, version };
      const result = await retryingTransport.call(call);
      if (result.kind === 'error') {
        return result;
      }
      const reply = result.value;
      return reply.kind === 'removed' ? ok(undefined) : fail(toStoreError(call, reply));
    },
    async listHosts() {
      const call: StoreCall = { kind: 'listHosts' };
      const result = await retryingTransport.call(call);
      if (result.kind === 'error') {
        return result;
      }
      const reply = result.value;
      return reply.kind === 'hosts' ? ok(reply.hosts) : fail(toStoreError(call, reply));
    },
    watch<Value>(
      objectKind: string,
      listener: Parameters<typeof createWatch<Value>>[0]['listener'],
      prefix = '',
    ) {
      const watch = createWatch<Value>({
        transport,
        clock,
        random,
        objectKind,
        prefix,
        listener,
        list: () => list<Value>(objectKind, { prefix }),
        tryTakeCall: retryingTransport.tryTakeCall,
        idleTimeout: options.watchIdleTimeout ?? DEFAULT_WATCH_IDLE_TIMEOUT,
        relistInterval: options.relistInterval ?? DEFAULT_RELIST_INTERVAL,
        maximumBackoff: options.maximumWatchBackoff ?? DEFAULT_MAXIMUM_WATCH_BACKOFF,
      });
      watches.add(watch);
      return {
        close() {
          watches.delete(watch);
          watch.close();
        },
      };
    },
    isClosed: () => isClosed,
    async close() {
      isClosed = true;
      watches.forEach((watch) => watch.close());
      watches.clear();
      await transport.close();
    },
  };
}
