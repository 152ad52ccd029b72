import { describe, it } from 'node:test';
import { expect } from 'earl';
import createResumableResponse from './createResumableResponse';
import type { CallerExchange, ResponseRelay } from './types';

const HEAD = { status: 200, headers: {}, isDelimitedByClose: false };
const PIECE = 16_384;
/** Bytes of an event that are kept at most, and a piece. */
const MAXIMUM_KEPT = 262_144 + PIECE;

interface RelayedStream {
  readonly response: ResponseRelay;
  getSent(): string;
}

function relay(chunks: readonly (string | Buffer)[]): RelayedStream {
  const sent: Buffer[] = [];
  const exchange: Partial<CallerExchange> = {
    sendHead: () => undefined,
    sendData: (chunk) => sent.push(Buffer.from(chunk)) > 0,
    finish: () => undefined,
  };
  const response = createResumableResponse(exchange as CallerExchange);
  response.onHead(HEAD);
  chunks.forEach((chunk) => response.onData(Buffer.from(chunk)));
  return { response, getSent: () => Buffer.concat(sent).toString('latin1') };
}

interface Case {
  readonly name: string;
  readonly chunks: readonly string[];
  readonly sent: string;
  readonly id: string | undefined;
  readonly canResume: boolean;
}

const cases: readonly Case[] = [
  { name: 'nothing', chunks: [], sent: '', id: undefined, canResume: false },
  {
    name: 'whole events',
    chunks: ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n'],
    sent: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
    id: '2',
    canResume: true,
  },
  {
    name: 'the part of an event',
    chunks: ['id: 1\ndata: a\n\nid: 2\nda'],
    sent: 'id: 1\ndata: a\n\n',
    id: '1',
    canResume: true,
  },
  {
    name: 'an event in pieces of one byte',
    chunks: [...'id: 1\r\ndata: a\r\n\r\nid: 2'],
    sent: 'id: 1\r\ndata: a\r\n\r\n',
    id: '1',
    canResume: true,
  },
  {
    name: 'lines that end in CR',
    chunks: ['id: 1\rdata: a\r', '\rid: 2'],
    sent: 'id: 1\rdata: a\r\r',
    id: '1',
    canResume: true,
  },
  {
    name: 'a blank line between two pieces',
    chunks: ['id: 1\n', '\n'],
    sent: 'id: 1\n\n',
    id: '1',
    canResume: true,
  },
  {
    name: 'an event without an identifier',
    chunks: ['data: a\n\n'],
    sent: 'data: a\n\n',
    id: undefined,
    canResume: false,
  },
  {
    name: 'an empty identifier',
    chunks: ['id:\n\n'],
    sent: 'id:\n\n',
    id: '',
    canResume: false,
  },
  {
    name: 'an identifier that is no header value',
    chunks: ['id: a\u0000b\n\n'],
    sent: 'id: a\u0000b\n\n',
    id: 'a\u0000b',
    canResume: false,
  },
  {
    name: 'an identifier longer than a header may be',
    chunks: [`id: ${'x'.repeat(2_000)}\n\n`],
    sent: `id: ${'x'.repeat(2_000)}\n\n`,
    id: 'x'.repeat(2_000),
    canResume: false,
  },
];

describe('createResumableResponse', () => {
  cases.forEach(({ name, chunks, sent, id, canResume }) => {
    it(`forwards complete events of ${name}`, () => {
      const { response, getSent } = relay(chunks);
      expect(getSent()).toEqual(sent);
      expect(response.getLastEventId()).toEqual(id);
      expect(response.canResume()).toEqual(canResume);
    });
  });

  // Guards against an event without an end that is kept, and searched again with each piece.
  it('forwards an event without an end in parts, and then resumes it nowhere', () => {
    const piece = Buffer.alloc(PIECE, 'x');
    const pieces = Array.from({ length: 500 }, () => piece);
    const { response, getSent } = relay(['id: 1\n\n', ...pieces]);
    expect(getSent().length).toBeGreaterThan(pieces.length * PIECE - MAXIMUM_KEPT);
    expect(response.canResume()).toEqual(false);
    response.onData(Buffer.from('\n\nid: 3\n\n'));
    expect(response.canResume()).toEqual(false);
    expect(getSent().endsWith('\n\nid: 3\n\n')).toEqual(true);
  });

  it('forwards a large event whole', () => {
    const data = `id: 7\ndata: ${'x'.repeat(200_000)}\n\n`;
    const { response, getSent } = relay([data.slice(0, 70_000), data.slice(70_000), 'id: 8']);
    expect(getSent()).toEqual(data);
    expect(response.canResume()).toEqual(true);
  });

  it('discards the part of an event when another server continues', () => {
    const { response, getSent } = relay(['id: 1\n\nid: 2\nda']);
    response.onHead(HEAD);
    response.onData(Buffer.from('id: 2\ndata: b\n\n'));
    expect(getSent()).toEqual('id: 1\n\nid: 2\ndata: b\n\n');
  });
});
