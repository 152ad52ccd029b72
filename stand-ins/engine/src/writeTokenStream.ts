import type { SSEStreamingApi } from 'hono/streaming';
import getTokenText from './getTokenText';
import type { TokenStream } from './types';

const DISCONNECT_CHECK_INTERVAL_MILLISECONDS = 50;

interface WriteOptions {
  /** Number of tokens that the reader has already received. */
  readonly after: number;
  /** Whether the connection that carries the events is stalled. */
  isStalled(): boolean;
  /** Closes the connection without ending the stream. */
  closeConnection(): void;
}

function createChunk(stream: TokenStream, delta: object, finishReason: string | null): object {
  return {
    id: `chatcmpl-${stream.request}`,
    object: 'chat.completion.chunk',
    created: 0,
    model: stream.model,
    choices: [{ index: 0, delta, finish_reason: finishReason }],
  };
}

function createUsageChunk(stream: TokenStream): object {
  return {
    ...createChunk(stream, {}, 'stop'),
    usage: {
      prompt_tokens: stream.promptTokens,
      completion_tokens: stream.tokens,
      total_tokens: stream.promptTokens + stream.tokens,
      prompt_tokens_details: { cached_tokens: stream.cachedTokens },
    },
  };
}

/** Resolves at the stream's next change or when its reader disconnects. */
function waitForChange(stream: TokenStream): Promise<void> {
  return new Promise((resolve) => {
    const subscriber = () => {
      stream.subscribers.delete(subscriber);
      resolve();
    };
    stream.subscribers.add(subscriber);
  });
}

/**
 * Writes the tokens after `sent`; returns the new count, or `undefined` if the connection is to be
 * closed.
 */
async function writeTokens(
  sse: SSEStreamingApi,
  stream: TokenStream,
  sent: number,
): Promise<number | undefined> {
  let index = sent;
  while (index < stream.tokens) {
    if (stream.disconnectAfterTokens !== undefined && index >= stream.disconnectAfterTokens) {
      stream.disconnectAfterTokens = undefined;
      return undefined;
    }
    index += 1;
    const delta = { content: getTokenText(stream.request, index) };
    await sse.writeSSE({ id: `${index}`, data: JSON.stringify(createChunk(stream, delta, null)) });
  }
  return index;
}

/**
 * Writes the tokens after `after` as server-sent events until the stream ends or the reader
 * disconnects.
 */
export default async function writeTokenStream(
  sse: SSEStreamingApi,
  stream: TokenStream,
  { after, isStalled, closeConnection }: WriteOptions,
): Promise<void> {
  sse.onAbort(() => stream.subscribers.forEach((subscriber) => subscriber()));
  let sent: number | undefined = after;
  while (!sse.aborted && !isStalled()) {
    sent = await writeTokens(sse, stream, sent);
    if (sent === undefined || (stream.end !== undefined && stream.end !== 'completed')) {
      closeConnection();
      return;
    }
    if (stream.end === 'completed') {
      await sse.writeSSE({
        id: `${stream.tokens}`,
        data: JSON.stringify(createUsageChunk(stream)),
      });
      await sse.writeSSE({ data: '[DONE]' });
      return;
    }
    await waitForChange(stream);
  }
  await waitForDisconnect(sse);
}

/** Keeps a stalled connection open until the reader disconnects. */
async function waitForDisconnect(sse: SSEStreamingApi): Promise<void> {
  while (!sse.aborted) {
    await sse.sleep(DISCONNECT_CHECK_INTERVAL_MILLISECONDS);
  }
}
