import type { BodyBudget } from './types';

/** Bodies up to this size may use all of the budget. */
const SMALL_BODY_BYTES = 65_536;
/** Share of the budget that larger bodies may use, so that small ones are read beside them. */
const LARGE_BODIES_SHARE = 3 / 4;

interface BodyBudgetOptions {
  /** Bytes of all bodies in hand together; Infinity for no limit. */
  readonly bytes: number;
}

/** Creates the budget of a host's memory for the bodies of requests that have not ended. */
export default function createBodyBudget({ bytes: limit }: BodyBudgetOptions): BodyBudget {
  let used = 0;

  return {
    getUsed: () => used,
    reserve() {
      let reserved = 0;
      return {
        tryGrow(bytes) {
          const added = Math.max(bytes - reserved, 0);
          const usable = bytes > SMALL_BODY_BYTES ? limit * LARGE_BODIES_SHARE : limit;
          if (added > 0 && used + added > usable) {
            return false;
          }
          used += added;
          reserved += added;
          return true;
        },
        release() {
          used -= reserved;
          reserved = 0;
        },
      };
    },
  };
}
