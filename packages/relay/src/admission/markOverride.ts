import type { EstimateOverride, TrialEnd } from '../decisions/types';
import type { PoolQueue } from '../pools/types';
import type { AttemptOutcome } from '../types';
import type { SlotGrant } from './types';

const HTTP_SERVER_ERROR = 500;

function getTrialEnd(end: AttemptOutcome): TrialEnd['kind'] {
  switch (end.kind) {
    case 'whole':
      return end.status < HTTP_SERVER_ERROR ? 'served' : 'failed';
    case 'notSent':
      return 'unused';
    case 'notRun':
    case 'notConnected':
    case 'broken':
    case 'aborted':
      return 'failed';
    default:
      return end satisfies never;
  }
}

/** Tells in a grant why its request was let through; the end of the grant ends a trial. */
export default function markOverride(
  grant: SlotGrant,
  queue: Pick<PoolQueue, 'endTrial'>,
  override: EstimateOverride,
): SlotGrant {
  switch (override) {
    case 'refuse':
      return grant;
    case 'serveLate':
      return { ...grant, view: { ...grant.view, override } };
    case 'tryOut':
      return {
        ...grant,
        view: { ...grant.view, override },
        release() {
          queue.endTrial('unused');
          grant.release();
        },
        complete(figures) {
          queue.endTrial(getTrialEnd(figures.end));
          grant.complete(figures);
        },
      };
    default:
      return override satisfies never;
  }
}
