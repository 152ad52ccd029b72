import { createHash } from 'node:crypto';

const BLOCK_TOKENS = 64;
const HASH_DIGITS = 16;

/** Returns one hash per full block of 64 tokens, each covering the prompt up to the block's end. */
export default function hashPromptPrefixes(tokens: readonly string[]): string[] {
  const hash = createHash('sha256');
  const hashes: string[] = [];
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    hash.update(`${tokens.slice(end - BLOCK_TOKENS, end).join(' ')}\n`);
    hashes.push(hash.copy().digest('hex').slice(0, HASH_DIGITS));
  }
  return hashes;
}
