import type { PromptWords } from './types';

/** Words that are kept; more than the prefixes of a prompt are made of. */
const KEPT_WORDS = 4_096;
const WORD = /\S+/g;

/** Counts the words of a prompt, which may be millions, and returns its first ones. */
export default function readPromptWords(prompt: string): PromptWords {
  const first: string[] = [];
  let count = 0;
  for (const [word] of prompt.matchAll(WORD)) {
    count += 1;
    if (first.length < KEPT_WORDS) {
      first.push(word);
    }
  }
  return { count, first };
}
