import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import type { Watch, WatchLine, WatchRequest } from '@rattanreel/platform';
import type { StoreChange } from './types';

interface OpenWatch {
  readonly request: WatchRequest;
  readonly listener: (line: WatchLine) => void;
  timer: Timer | undefined;
  isSilent: boolean;
}

interface WatchHubOptions {
  readonly clock: Clock;
  readonly bookmarkInterval: Milliseconds;
  readonly getVersion: () => number;
}

interface WatchHub {
  open(
    request: WatchRequest,
    past: readonly StoreChange[],
    listener: (line: WatchLine) => void,
  ): Watch;
  publish(change: StoreChange): void;
  silence(): void;
  breakAll(): void;
  close(): void;
}

function toLine(change: StoreChange): WatchLine {
  return change.object === undefined
    ? { kind: 'removed', name: change.name, version: change.version }
    : { kind: 'changed', object: change.object };
}

function isWatched(change: StoreChange, request: WatchRequest): boolean {
  return change.objectKind === request.objectKind && change.name.startsWith(request.prefix);
}

/** The open watches of the store. */
export default function createWatchHub(options: WatchHubOptions): WatchHub {
  const { clock, bookmarkInterval, getVersion } = options;
  const watches = new Set<OpenWatch>();

  function scheduleBookmark(watch: OpenWatch): void {
    watch.timer = clock.after(bookmarkInterval, () => {
      if (!watch.isSilent) {
        watch.listener({ kind: 'bookmark', version: getVersion() });
      }
      scheduleBookmark(watch);
    });
  }

  function forget(watch: OpenWatch): void {
    watch.timer?.cancel();
    watches.delete(watch);
  }

  return {
    open(request, past, listener) {
      const watch: OpenWatch = { request, listener, timer: undefined, isSilent: false };
      watches.add(watch);
      past
        .filter((change) => isWatched(change, request))
        .forEach((change) => listener(toLine(change)));
      listener({ kind: 'bookmark', version: getVersion() });
      scheduleBookmark(watch);
      return { close: () => forget(watch) };
    },
    publish(change) {
      for (const watch of [...watches]) {
        if (!watch.isSilent && isWatched(change, watch.request)) {
          watch.listener(toLine(change));
        }
      }
    },
    silence() {
      watches.forEach((watch) => {
        watch.isSilent = true;
      });
    },
    breakAll() {
      for (const watch of [...watches]) {
        forget(watch);
        watch.listener({ kind: 'ended', reason: 'broken' });
      }
    },
    close() {
      [...watches].forEach(forget);
    },
  };
}
