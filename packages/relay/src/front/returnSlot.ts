import type { SlotGrant } from '../admission/types';
import type { AttemptFigures } from '../types';

/** Returns the slot of an attempt that ended; an attempt that was not sent says nothing of it. */
export default function returnSlot(grant: SlotGrant, figures: AttemptFigures): void {
  if (figures.end.kind === 'notSent') {
    grant.release();
  } else {
    grant.complete(figures);
  }
}
