import { parentPort } from 'node:worker_threads';
import { createSystemClock, Debug } from '@rattanreel/core';
import measureBatch from './measureBatch';
import type { BatchOptions } from './types';

/** Thread of the callers: runs each batch that it is told to, and answers with what was measured. */
const port = Debug.checkDefined(parentPort, 'parent port');
const clock = createSystemClock();

port.on('message', (options: BatchOptions) => {
  void measureBatch(clock, options).then((batch) => port.postMessage(batch));
});
