import { parentPort } from 'node:worker_threads';
import { createSystemClock, Debug } from '@rattanreel/core';
import measureBatch from './measureBatch';
import type { BatchOptions } from './types';

/** Worker thread of the callers: runs each batch that it receives and posts the measurements. */
const port = Debug.checkDefined(parentPort, 'parent port');
const clock = createSystemClock();

port.on('message', (options: BatchOptions) => {
  void measureBatch(clock, options).then((batch) => port.postMessage(batch));
});
