import { createHash } from 'node:crypto';

const BLOCK_TOKENS = 64;
const HASH_DIGITS = 16;

/** Hashes of the prompt's full blocks of 64 tokens, each covering all tokens up to its end. */
export default function hashPromptPrefixes(tokens: readonly string[]): string[] {
  const hash = createHash('sha256');
  const hashes: string[] = [];
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    hash.update(`${tokens.slice(end - BLOCK_TOKENS, end).join(' ')}\n`);
    hashes.push(hash.copy().digest('hex').slice(0, HASH_DIGITS));
  }
  return hashes;
}
