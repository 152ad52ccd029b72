import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import type { StreamEvent, StreamUsage } from './types';

const END_OF_STREAM = '[DONE]';

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
  return { kind: 'tokens', data: message.data, tokens };
}

/** Reads server-sent events from an engine's response, in one batch for each chunk with events. */
export default async function* readStreamEvents(
  body: AsyncIterable<Uint8Array>,
  tokensBefore: number,
): AsyncGenerator<readonly StreamEvent[]> {
  let batch: StreamEvent[] = [];
  let tokens = tokensBefore;
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent(message) {
      const event = toStreamEvent(message, tokens);
      tokens = event.kind === 'tokens' ? event.tokens : tokens;
      batch.push(event);
    },
  });
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (batch.length > 0) {
      yield batch;
      batch = [];
    }
  }
}
