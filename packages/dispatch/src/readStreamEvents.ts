import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import type { StreamEvent, StreamUsage } from './types';

const END_OF_STREAM = '[DONE]';
/** Characters of an event, and of a line, that are kept until its end. */
const MAXIMUM_EVENT_CHARACTERS = 1_048_576;
/** Characters parsed at once: the parser's work grows with the square of them if lines end in CR. */
const MAXIMUM_PIECE_CHARACTERS = 4_096;

interface UsageBody {
  readonly usage?: {
    readonly prompt_tokens?: number;
    readonly completion_tokens?: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  } | null;
}

function tryParseUsage(data: string): StreamUsage | undefined {
  // Most events carry only a token; they are forwarded without being parsed.
  if (!data.includes('"usage":{')) {
    return undefined;
  }
  const { usage } = JSON.parse(data) as UsageBody;
  return {
    promptTokens: usage?.prompt_tokens ?? 0,
    outputTokens: usage?.completion_tokens ?? 0,
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
  };
}

function toStreamEvent(message: EventSourceMessage, tokensBefore: number): StreamEvent {
  if (message.data === END_OF_STREAM) {
    return { kind: 'done' };
  }
  const usage = tryParseUsage(message.data);
  if (usage !== undefined) {
    return { kind: 'usage', data: message.data, usage };
  }
  const tokens = message.id === undefined ? tokensBefore + 1 : Number(message.id);
  if (!Number.isSafeInteger(tokens)) {
    throw new TypeError(`malformed event identifier ${JSON.stringify(message.id)}`);
  }
  return { kind: 'tokens', data: message.data, tokens };
}

function* splitText(text: string): Generator<string> {
  for (let start = 0; start < text.length; start += MAXIMUM_PIECE_CHARACTERS) {
    yield text.slice(start, start + MAXIMUM_PIECE_CHARACTERS);
  }
}

/**
 * Reads server-sent events from an engine's response, in one batch for each chunk with events. Throws
 * if an event is malformed or has no end within 1 MiB.
 */
export default async function* readStreamEvents(
  body: AsyncIterable<Uint8Array>,
  tokensBefore: number,
): AsyncGenerator<readonly StreamEvent[]> {
  let batch: StreamEvent[] = [];
  let tokens = tokensBefore;
  const decoder = new TextDecoder();
  const parser = createParser({
    maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
    onError(error) {
      if (error.type === 'max-buffer-size-exceeded') {
        throw error;
      }
    },
    onEvent(message) {
      const event = toStreamEvent(message, tokens);
      tokens = event.kind === 'tokens' ? event.tokens : tokens;
      batch.push(event);
    },
  });
  for await (const chunk of body) {
    for (const piece of splitText(decoder.decode(chunk, { stream: true }))) {
      parser.feed(piece);
    }
    if (batch.length > 0) {
      yield batch;
      batch = [];
    }
  }
}
