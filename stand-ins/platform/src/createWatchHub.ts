import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import type { Watch, WatchLine, WatchRequest } from '@rattanreel/platform';
import type { StoreChange } from './types';

interface OpenWatch {
  readonly request: WatchRequest;
  readonly listener: (line: WatchLine) => void;
  timer: Timer | undefined;
  isStalled: boolean;
}

interface WatchHubOptions {
  readonly clock: Clock;
  readonly bookmarkInterval: Milliseconds;
  readonly getVersion: () => number;
}

interface WatchHub {
  open(
    request: WatchRequest,
    pastChanges: readonly StoreChange[],
    listener: (line: WatchLine) => void,
  ): Watch;
  publish(change: StoreChange): void;
  stallAll(): void;
  endAll(): void;
  close(): void;
}

function toWatchLine(change: StoreChange): WatchLine {
  return change.object === undefined
    ? { kind: 'removed', name: change.name, version: change.version }
    : { kind: 'changed', object: change.object };
}

function matchesWatch(change: StoreChange, request: WatchRequest): boolean {
  return change.objectKind === request.objectKind && change.name.startsWith(request.prefix);
}

/** Creates the set of open watches of a store. */
export default function createWatchHub(options: WatchHubOptions): WatchHub {
  const { clock, bookmarkInterval, getVersion } = options;
  const watches = new Set<OpenWatch>();

  function scheduleBookmark(watch: OpenWatch): void {
    watch.timer = clock.after(bookmarkInterval, () => {
      if (!watch.isStalled) {
        watch.listener({ kind: 'bookmark', version: getVersion() });
      }
      scheduleBookmark(watch);
    });
  }

  function removeWatch(watch: OpenWatch): void {
    watch.timer?.cancel();
    watches.delete(watch);
  }

  return {
    open(request, pastChanges, listener) {
      const watch: OpenWatch = { request, listener, timer: undefined, isStalled: false };
      watches.add(watch);
      pastChanges
        .filter((change) => matchesWatch(change, request))
        .forEach((change) => listener(toWatchLine(change)));
      listener({ kind: 'bookmark', version: getVersion() });
      scheduleBookmark(watch);
      return { close: () => removeWatch(watch) };
    },
    publish(change) {
      for (const watch of [...watches]) {
        if (!watch.isStalled && matchesWatch(change, watch.request)) {
          watch.listener(toWatchLine(change));
        }
      }
    },
    stallAll() {
      watches.forEach((watch) => {
        watch.isStalled = true;
      });
    },
    endAll() {
      for (const watch of [...watches]) {
        removeWatch(watch);
        watch.listener({ kind: 'ended', reason: 'broken' });
      }
    },
    close() {
      [...watches].forEach(removeWatch);
    },
  };
}
