import { Debug } from '@rattanreel/core';
import type { StoreCall, StoredObject, StoreReply } from '@rattanreel/platform';
import type { StoreChange } from './types';

const MAXIMUM_VALUE_BYTES = 1_048_576;

interface StoreState {
  getVersion(): number;
  /** Applies a call immediately, without faults. */
  apply(call: Exclude<StoreCall, { kind: 'listHosts' }>): StoreReply;
  /** Returns the changes after a version; `undefined` if some of them have been compacted. */
  tryGetChangesAfter(version: number): readonly StoreChange[] | undefined;
}

interface StoreStateOptions {
  readonly historyLength: number;
  readonly onChange: (change: StoreChange) => void;
}

type Write = Extract<StoreCall, { kind: 'create' | 'update' | 'remove' }>;

/** Creates the state of an empty store: its objects, version and history of changes. */
export default function createStoreState(options: StoreStateOptions): StoreState {
  const objectsByKind = new Map<string, Map<string, StoredObject>>();
  const history: StoreChange[] = [];
  let version = 0;
  let compactedVersion = 0;

  function getObjects(objectKind: string): Map<string, StoredObject> {
    const objects = objectsByKind.get(objectKind) ?? new Map<string, StoredObject>();
    objectsByKind.set(objectKind, objects);
    return objects;
  }

  function recordChange(change: StoreChange): void {
    history.push(change);
    if (history.length > options.historyLength) {
      compactedVersion = Debug.checkDefined(history.shift(), 'oldest change').version;
    }
    options.onChange(change);
  }

  function put(call: Exclude<Write, { kind: 'remove' }>): StoreReply {
    const { objectKind, name } = call;
    const text = JSON.stringify(call.value);
    if (Buffer.byteLength(text) > MAXIMUM_VALUE_BYTES) {
      return { kind: 'invalid', detail: 'the value is larger than 1 MiB' };
    }
    version += 1;
    const value = JSON.parse(text) as unknown;
    const object: StoredObject = { kind: objectKind, name, version, value };
    getObjects(objectKind).set(name, object);
    recordChange({ version, objectKind, name, object });
    return { kind: 'object', object };
  }

  function remove(objectKind: string, name: string): StoreReply {
    version += 1;
    getObjects(objectKind).delete(name);
    recordChange({ version, objectKind, name, object: undefined });
    return { kind: 'removed' };
  }

  function write(call: Write): StoreReply {
    const current = getObjects(call.objectKind).get(call.name);
    const expected = call.kind === 'create' ? undefined : call.version;
    if (current?.version !== expected) {
      return { kind: 'conflict', current };
    }
    return call.kind === 'remove' ? remove(call.objectKind, call.name) : put(call);
  }

  function list(objectKind: string, prefix: string): StoreReply {
    const objects = [...getObjects(objectKind).values()];
    const items = objects.filter(({ name }) => name.startsWith(prefix));
    return { kind: 'list', list: { items, version } };
  }

  return {
    getVersion: () => version,
    apply(call) {
      switch (call.kind) {
        case 'get': {
          const object = getObjects(call.objectKind).get(call.name);
          return object === undefined ? { kind: 'notFound' } : { kind: 'object', object };
        }
        case 'list':
          return list(call.objectKind, call.prefix);
        case 'create':
        case 'update':
        case 'remove':
          return write(call);
        default:
          return Debug.assertNever(call);
      }
    },
    tryGetChangesAfter(after) {
      return after < compactedVersion
        ? undefined
        : history.filter((change) => change.version > after);
    },
  };
}
