import type { SSEStreamingApi } from 'hono/streaming';
import getTokenText from './getTokenText';
import type { TokenStream } from './types';

const SILENCE_CHECK_MILLISECONDS = 50;

interface WriteOptions {
  /** Tokens that the reader has already. */
  readonly after: number;
  /** Whether the connection that carries the events has gone silent. */
  isSilent(): boolean;
  /** Breaks the connection off. */
  cut(): void;
}

function chunk(stream: TokenStream, delta: object, finishReason: string | null): object {
  return {
    id: `chatcmpl-${stream.request}`,
    object: 'chat.completion.chunk',
    created: 0,
    model: stream.model,
    choices: [{ index: 0, delta, finish_reason: finishReason }],
  };
}

function usage(stream: TokenStream): object {
  return {
    ...chunk(stream, {}, 'stop'),
    usage: {
      prompt_tokens: stream.promptTokens,
      completion_tokens: stream.tokens,
      total_tokens: stream.promptTokens + stream.tokens,
      prompt_tokens_details: { cached_tokens: stream.cachedTokens },
    },
  };
}

/** Resolves at the stream's next change, or when its reader goes. */
function waitForChange(stream: TokenStream): Promise<void> {
  return new Promise((resolve) => {
    const subscriber = () => {
      stream.subscribers.delete(subscriber);
      resolve();
    };
    stream.subscribers.add(subscriber);
  });
}

/** Writes tokens from `sent` on; returns how many are sent, or undefined when the connection was cut. */
async function writeTokens(
  sse: SSEStreamingApi,
  stream: TokenStream,
  sent: number,
): Promise<number | undefined> {
  let index = sent;
  while (index < stream.tokens) {
    if (stream.cutAfter !== undefined && index >= stream.cutAfter) {
      stream.cutAfter = undefined;
      return undefined;
    }
    index += 1;
    const delta = { content: getTokenText(stream.request, index) };
    await sse.writeSSE({ id: `${index}`, data: JSON.stringify(chunk(stream, delta, null)) });
  }
  return index;
}

/** Writes a token stream as server-sent events, from `after` on, until it ends or the reader goes. */
export default async function writeTokenStream(
  sse: SSEStreamingApi,
  stream: TokenStream,
  { after, isSilent, cut }: WriteOptions,
): Promise<void> {
  sse.onAbort(() => stream.subscribers.forEach((subscriber) => subscriber()));
  let sent: number | undefined = after;
  while (!sse.aborted && !isSilent()) {
    sent = await writeTokens(sse, stream, sent);
    if (sent === undefined || (stream.end !== undefined && stream.end !== 'completed')) {
      cut();
      return;
    }
    if (stream.end === 'completed') {
      await sse.writeSSE({ id: `${stream.tokens}`, data: JSON.stringify(usage(stream)) });
      await sse.writeSSE({ data: '[DONE]' });
      return;
    }
    await waitForChange(stream);
  }
  await waitForReaderToGo(sse);
}

/** Keeps a connection open that has gone silent. */
async function waitForReaderToGo(sse: SSEStreamingApi): Promise<void> {
  while (!sse.aborted) {
    await sse.sleep(SILENCE_CHECK_MILLISECONDS);
  }
}
