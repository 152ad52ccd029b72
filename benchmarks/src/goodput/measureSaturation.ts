import { createRandom, createVirtualClock } from '@rattanreel/core';
import { createEngineModel, getHardware } from '@rattanreel/stand-in-engine-model';
import type { HardwareGeneration } from '@rattanreel/stand-in-engine-model';
import drawRequestSize from './workload/drawRequestSize';
import type { WorkModel } from './workload/types';

const WARM_UP_MILLISECONDS = 60_000;
const MEASURED_MILLISECONDS = 240_000;
const BLOCK_TOKENS = 64;
/** Requests kept in the engine's own queue, so that its batch is always as full as possible. */
const QUEUED_REQUESTS = 4;

/**
 * Returns the work that an engine does while its queue never empties and no caller disconnects, as
 * a share of its capacity bound.
 */
export default function measureSaturation(
  generation: HardwareGeneration,
  work: WorkModel,
  seed: number,
): number {
  const clock = createVirtualClock();
  const random = createRandom(seed);
  const hardware = getHardware(generation);
  const model = createEngineModel({ id: generation, clock, random, hardware });
  let submitted = 0;
  let done = 0;

  function submitNext(): void {
    const size = drawRequestSize(random);
    submitted += 1;
    model.submit({
      ...size,
      request: `${submitted}`,
      prefixHashes: Array.from(
        { length: size.sharedTokens / BLOCK_TOKENS },
        (_, block) => `shared-${size.sharedPrefix}:${block}`,
      ),
      listener: {
        onTokens: () => {},
        onEnd() {
          done += clock.now() > WARM_UP_MILLISECONDS ? work.getWork(size) : 0;
          clock.after(0, submitNext);
        },
      },
    });
  }

  for (let index = 0; index < hardware.maximumStreams + QUEUED_REQUESTS; index += 1) {
    submitNext();
  }
  clock.advance(WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS);
  return done / (work.getSpeed(generation) * MEASURED_MILLISECONDS);
}
