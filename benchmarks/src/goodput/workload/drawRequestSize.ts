import type { Random } from '@rattanreel/core';
import type { RequestSize } from './types';

const MINIMUM_PROMPT_TOKENS = 40;
const MINIMUM_OUTPUT_TOKENS = 10;
/** Ratio of the longest to the shortest. */
const LENGTH_RATIO = 100;
const SHARED_PREFIXES = 12;
const SHARED_PREFIX_SHARE = 0.5;
const BLOCK_TOKENS = 64;
const MAXIMUM_SHARED_BLOCKS = 12;
/** Minimum share of the requested output that is generated. */
const MINIMUM_OUTPUT_SHARE = 0.4;

/**
 * Draws the sizes of a request: lengths vary by a factor of 100, and long prompts tend to have long
 * responses.
 */
export default function drawRequestSize(random: Random): RequestSize {
  const length = random.next();
  const outputLength = (length + random.next()) / 2;
  const ownTokens = Math.round(MINIMUM_PROMPT_TOKENS * LENGTH_RATIO ** length);
  const maximumOutputTokens = Math.round(MINIMUM_OUTPUT_TOKENS * LENGTH_RATIO ** outputLength);
  const used = MINIMUM_OUTPUT_SHARE + (1 - MINIMUM_OUTPUT_SHARE) * random.next();
  const outputTokens = Math.max(2, Math.round(maximumOutputTokens * used));
  const isShared = random.next() < SHARED_PREFIX_SHARE;
  const sharedPrefix = isShared ? random.integer(0, SHARED_PREFIXES - 1) : undefined;
  const sharedTokens =
    sharedPrefix === undefined ? 0 : ((sharedPrefix % MAXIMUM_SHARED_BLOCKS) + 1) * BLOCK_TOKENS;
  return {
    promptTokens: ownTokens + sharedTokens,
    outputTokens,
    maximumOutputTokens: Math.max(outputTokens, maximumOutputTokens),
    sharedPrefix,
    sharedTokens,
  };
}
