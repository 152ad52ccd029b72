import { createHash } from 'node:crypto';

/** Tokens covered by one block of the engines' prefix caches. */
const BLOCK_TOKENS = 64;

/** Maximum number of blocks hashed; later blocks add little to the choice of an engine. */
const MAXIMUM_BLOCKS = 64;

const HASH_CHARACTERS = 16;

/** Hashes the leading blocks of a prompt; the hash of block n covers the blocks 0 to n. */
export default function hashPromptPrefixes(words: readonly string[]): readonly string[] {
  const blocks = Math.min(MAXIMUM_BLOCKS, Math.floor(words.length / BLOCK_TOKENS));
  const hash = createHash('sha256');
  const hashes: string[] = [];
  for (let block = 0; block < blocks; block += 1) {
    hash.update(words.slice(block * BLOCK_TOKENS, (block + 1) * BLOCK_TOKENS).join(' '));
    hash.update('\n');
    hashes.push(hash.copy().digest('hex').slice(0, HASH_CHARACTERS));
  }
  return hashes;
}
