import type { WatchLine, WatchRequest } from '@rattanreel/platform';
import type { ObjectStoreModel } from './types';

interface WatchLines {
  /** The next line; `ended` once closed. */
  next(): Promise<WatchLine>;
  close(): void;
}

/** Opens a watch whose lines are taken one at a time. */
export default function openWatchLines(model: ObjectStoreModel, request: WatchRequest): WatchLines {
  const waiting: WatchLine[] = [];
  let wake: (() => void) | undefined;

  function push(line: WatchLine): void {
    waiting.push(line);
    wake?.();
  }

  function waitForLine(): Promise<void> {
    return new Promise((resolve) => {
      wake = resolve;
    });
  }

  const watch = model.openWatch(request, push);
  return {
    async next() {
      if (waiting.length === 0) {
        await waitForLine();
      }
      return waiting.shift()!;
    },
    close() {
      watch.close();
      push({ kind: 'ended', reason: 'broken' });
    },
  };
}
