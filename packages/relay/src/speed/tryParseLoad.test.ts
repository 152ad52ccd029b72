import { describe, it } from 'node:test';
import { expect } from 'earl';
import tryParseLoad from './tryParseLoad';
import type { ServerLoad } from './types';

interface Case {
  readonly name: string;
  readonly text: string | readonly string[] | undefined;
  readonly load: ServerLoad | undefined;
}

const cases: readonly Case[] = [
  { name: 'three figures', text: '3,1,4', load: { running: 3, waiting: 1 } },
  { name: 'four figures', text: '3,1,4,400', load: { running: 3, waiting: 1, slowdown: 4 } },
  { name: 'a fast machine', text: '0,0,6,50', load: { running: 0, waiting: 0, slowdown: 0.5 } },
  { name: 'no header', text: undefined, load: undefined },
  { name: 'two figures', text: '3,1', load: undefined },
  { name: 'five figures', text: '3,1,4,400,1', load: undefined },
  { name: 'an empty fourth figure', text: '3,1,4,', load: undefined },
  { name: 'no time at all', text: '3,1,4,0', load: undefined },
  { name: 'a negative figure', text: '3,1,4,-400', load: undefined },
  { name: 'two headers', text: ['3,1,4', '2,1,4'], load: undefined },
];

// Fails when a fourth figure makes the whole header unreadable, as it did.
describe('tryParseLoad', () => {
  cases.forEach(({ name, text, load }) => {
    it(`reads ${name}`, () => {
      expect(tryParseLoad(text)).toEqual(load);
    });
  });
});
