import type { WatchLine, WatchRequest } from '@rattanreel/platform';
import type { ObjectStoreModel } from './types';

interface WatchLineQueue {
  /** Resolves with the next line; `ended` once closed. */
  next(): Promise<WatchLine>;
  close(): void;
}

/** Opens a watch whose lines are read one at a time. */
export default function openWatchLines(
  model: ObjectStoreModel,
  request: WatchRequest,
): WatchLineQueue {
  const queuedLines: WatchLine[] = [];
  let notifyReader: (() => void) | undefined;

  function push(line: WatchLine): void {
    queuedLines.push(line);
    notifyReader?.();
  }

  function waitForLine(): Promise<void> {
    return new Promise((resolve) => {
      notifyReader = resolve;
    });
  }

  const watch = model.openWatch(request, push);
  return {
    async next() {
      if (queuedLines.length === 0) {
        await waitForLine();
      }
      return queuedLines.shift()!;
    },
    close() {
      watch.close();
      push({ kind: 'ended', reason: 'broken' });
    },
  };
}
