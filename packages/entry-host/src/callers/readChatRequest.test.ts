import { describe, it } from 'node:test';
import { expect } from 'earl';
import readChatRequest from './readChatRequest';

const many = ','.repeat(200_000);
const ask = (content: string, rest = ''): string =>
  `{"model":"m","messages":[{"role":"user","content":${JSON.stringify(content)}}]${rest}}`;

const cases = [
  { name: 'two words', text: ask(' two  words\n'), words: 2 },
  { name: 'no word', text: ask(' '), words: 0 },
  { name: 'signs of JSON in a string', text: ask(`${many}[{"\\`), words: 1 },
  { name: 'many values', text: ask('a', `,"x":[${'0,'.repeat(100_000)}0]`), words: undefined },
  {
    name: 'many levels',
    text: ask('a', `,"x":${'['.repeat(300)}${']'.repeat(300)}`),
    words: undefined,
  },
  { name: 'a string without an end', text: '{"model":"', words: undefined },
];

describe('readChatRequest', () => {
  cases.forEach(({ name, text, words }) => {
    it(`reads ${name}`, () => {
      const read = readChatRequest(text);
      expect(read.kind === 'ok' ? read.value.promptWords.count : undefined).toEqual(words);
    });
  });
});
