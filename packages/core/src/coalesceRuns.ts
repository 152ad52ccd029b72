/**
 * Returns a function that runs a task, one run at a time. Calls that arrive during a run share one
 * further run, which begins after it, so that the run that ends last has also begun last. Rejects if
 * the run of the call rejects.
 */
export default function coalesceRuns(task: () => Promise<void>): () => Promise<void> {
  let current: Promise<void> | undefined;
  let next: Promise<void> | undefined;

  function start(): Promise<void> {
    const run = task().finally(() => {
      if (current === run) {
        current = undefined;
      }
    });
    current = run;
    return run;
  }

  return () => {
    if (next !== undefined) {
      return next;
    }
    if (current === undefined) {
      return start();
    }
    next = current
      .catch(() => undefined)
      .then(() => {
        next = undefined;
        return start();
      });
    return next;
  };
}
