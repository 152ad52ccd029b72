import type { Random } from '@rattanreel/core';
import type { BaselineView } from './types';

/**
 * Returns the engine with the lowest load relative to its maximum number of streams; ties are
 * broken at random.
 */
export default function chooseLeastLoaded(
  views: readonly BaselineView[],
  random: Random,
  getLoad: (view: BaselineView) => number,
): BaselineView {
  let best: BaselineView[] = [];
  let least = Number.POSITIVE_INFINITY;
  views.forEach((view) => {
    const load = getLoad(view) / view.engine.settings.maximumStreams;
    if (load < least) {
      best = [view];
      least = load;
    } else if (load === least) {
      best.push(view);
    }
  });
  return best[random.integer(0, best.length - 1)]!;
}
