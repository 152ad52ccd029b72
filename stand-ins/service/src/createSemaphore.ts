/** Limits the number of calls that run concurrently. */
interface Semaphore {
  readonly running: number;
  readonly waiting: number;
  /** Resolves once a slot is free; the slot is held until `release`. */
  acquire(): Promise<void>;
  release(): void;
}

/** Creates a semaphore with `count` free slots. */
export default function createSemaphore(count: number): Semaphore {
  const queue: (() => void)[] = [];
  let running = 0;

  return {
    get running() {
      return running;
    },
    get waiting() {
      return queue.length;
    },
    async acquire() {
      if (running >= count) {
        await new Promise<void>((resolve) => {
          queue.push(resolve);
        });
      }
      running += 1;
    },
    release() {
      running -= 1;
      queue.shift()?.();
    },
  };
}
