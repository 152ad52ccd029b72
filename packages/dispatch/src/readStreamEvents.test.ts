import { describe, it } from 'node:test';
import { expect } from 'earl';
import readStreamEvents from './readStreamEvents';

const PIECE = Buffer.alloc(65_536, 'x');

interface Case {
  readonly name: string;
  readonly chunks: readonly (string | Buffer)[];
  /** Tokens sent after each event that was read; undefined if the stream fails. */
  readonly tokens: readonly number[] | undefined;
}

const cases: readonly Case[] = [
  {
    name: 'events with and without identifiers',
    chunks: ['id: 3\ndata: a\n\n', 'data: b\n\n'],
    tokens: [3, 4],
  },
  {
    name: 'a large event',
    chunks: ['id: 1\ndata: ', ...Array.from({ length: 8 }, () => PIECE), '\n\n'],
    tokens: [1],
  },
  { name: 'lines that end in CR', chunks: ['id: 1\rdata: a\r\r', 'data: b\r\r\n'], tokens: [1, 2] },
  {
    name: 'a line without an end',
    chunks: ['data: ', ...Array.from({ length: 40 }, () => PIECE)],
    tokens: undefined,
  },
  {
    name: 'an event without an end',
    chunks: Array.from({ length: 400 }, () => `data: ${'x'.repeat(4_000)}\n`),
    tokens: undefined,
  },
  { name: 'an identifier that is no number', chunks: ['id: x\ndata: a\n\n'], tokens: undefined },
  { name: 'a fraction as identifier', chunks: ['id: 1.5\ndata: a\n\n'], tokens: undefined },
  { name: 'usage that is no JSON', chunks: ['data: {"usage":{\n\n'], tokens: undefined },
];

async function read(chunks: Case['chunks']): Promise<Case['tokens']> {
  async function* getBody(): AsyncGenerator<Uint8Array> {
    for (const chunk of chunks) {
      yield Buffer.from(chunk);
    }
  }
  const tokens: number[] = [];
  try {
    for await (const batch of readStreamEvents(getBody(), 0)) {
      batch.forEach((event) => tokens.push(event.kind === 'tokens' ? event.tokens : NaN));
    }
  } catch {
    return undefined;
  }
  return tokens;
}

// Guards against events that grow without bound, and against identifiers that hide missing tokens.
describe('readStreamEvents', () => {
  cases.forEach(({ name, chunks, tokens }) => {
    it(`${tokens === undefined ? 'fails on' : 'reads'} ${name}`, async () => {
      expect(await read(chunks)).toEqual(tokens);
    });
  });
});
