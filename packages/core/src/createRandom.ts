import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Random } from './types';

const FLOAT_RANGE = 0x1_0000_0000;
const WORDS_PER_IDENTIFIER = 4;

/** Creates a pseudorandom generator whose numbers depend on `seed` alone. */
export default function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);

  function nextWord(): number {
    return uniformInt(generator, 0, FLOAT_RANGE - 1);
  }

  return {
    next: () => nextWord() / FLOAT_RANGE,
    integer: (low, high) => uniformInt(generator, low, high),
    identifier() {
      let text = '';
      for (let index = 0; index < WORDS_PER_IDENTIFIER; index += 1) {
        text += nextWord().toString(16).padStart(8, '0');
      }
      return text;
    },
  };
}
