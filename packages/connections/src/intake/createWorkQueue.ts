import type { WorkQueue } from './types';

/** Work of one turn, after which the event loop handles what else has happened. */
const TURN_WORK = 256;

/** Creates a queue of work, of which a part is done in each turn of the event loop. */
export default function createWorkQueue(): WorkQueue {
  const waiting: (() => number)[] = [];
  let done = 0;
  let isScheduled = false;

  function schedule(): void {
    if (!isScheduled) {
      isScheduled = true;
      setImmediate(runTurn);
    }
  }

  function runTurn(): void {
    isScheduled = false;
    done = 0;
    // Work that is added meanwhile waits for the next turn.
    for (let left = waiting.length; left > 0 && done < TURN_WORK; left -= 1) {
      done += waiting.shift()?.() ?? 0;
    }
    done = 0;
    if (waiting.length > 0) {
      schedule();
    }
  }

  return {
    runOrAdd(work) {
      schedule();
      if (done < TURN_WORK) {
        done += work();
      } else {
        waiting.push(work);
      }
    },
    add(work) {
      waiting.push(work);
      schedule();
    },
  };
}
