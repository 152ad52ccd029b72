import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';
import type { Clock, Milliseconds } from '@rattanreel/core';
import readProblem from './readProblem';
import type { CallerRecord, PlannedChat } from './types';

/** Number of final characters of the request id that the stand-in engines put into each token. */
const REQUEST_SUFFIX_CHARACTERS = 8;

interface ChatProgress {
  text: string;
  done: boolean;
  error: string | undefined;
  firstTokenAt: Milliseconds | undefined;
  tokens: number;
}

function buildPrompt({ topic, promptTokens, at }: PlannedChat): string {
  // The first half depends on the topic only, so that requests of one topic share a prefix.
  const shared = Math.floor(promptTokens / 2);
  const words = Array.from({ length: promptTokens }, (ignored, index) =>
    index < shared ? `t${topic}w${index}` : `r${Math.round(at)}w${index}`,
  );
  return words.join(' ');
}

async function readStream(
  body: Dispatcher.ResponseData['body'],
  clock: Clock,
): Promise<ChatProgress> {
  const progress: ChatProgress = {
    text: '',
    done: false,
    error: undefined,
    firstTokenAt: undefined,
    tokens: 0,
  };
  const parser = createParser({
    onEvent({ data, event }) {
      if (data === '[DONE]') {
        progress.done = true;
      } else if (event === 'error') {
        progress.error = JSON.stringify((JSON.parse(data) as { error: unknown }).error);
      } else {
        const content = (JSON.parse(data) as ChunkBody).choices[0]?.delta.content;
        progress.firstTokenAt ??= clock.now();
        progress.text += content ?? '';
        progress.tokens += content === undefined ? 0 : 1;
      }
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
  }
  return progress;
}

interface ChunkBody {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

interface CompletionBody {
  readonly choices: readonly { readonly message: { readonly content: string } }[];
}

async function readUnstreamed(
  body: Dispatcher.ResponseData['body'],
  clock: Clock,
): Promise<ChatProgress> {
  const answer = (await body.json()) as CompletionBody;
  const text = answer.choices[0]?.message.content ?? '';
  return {
    text,
    done: true,
    error: undefined,
    firstTokenAt: clock.now(),
    tokens: text.split(' ').filter((word) => word !== '').length,
  };
}

/** Returns whether each token contains the end of this request's id and its position, and none is missing. */
function answerMatchesRequest(text: string, request: string, tokens: number): boolean {
  const suffix = request.slice(-REQUEST_SUFFIX_CHARACTERS);
  const words = text.split(' ').filter((word) => word !== '');
  return words.length === tokens && words.every((word, index) => word === `${suffix}-${index + 1}`);
}

/** Sends one chat request, reads its answer to the end and records its outcome. */
export default async function sendChat(
  dispatcher: Dispatcher,
  clock: Clock,
  planned: PlannedChat,
  deadline: Milliseconds | undefined,
): Promise<CallerRecord> {
  const startedAt = clock.now();
  const unansweredRecord: CallerRecord = {
    planned,
    outcome: 'cutShort',
    request: undefined,
    status: 0,
    problem: undefined,
    firstTokenAfter: undefined,
    duration: 0,
    outputTokens: 0,
    crossed: false,
  };
  try {
    const response = await dispatcher.request({
      origin: planned.entryHost,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: {
        authorization: `Bearer ${planned.customer.apiKey}`,
        'content-type': 'application/json',
        'x-tier': planned.tier,
        ...(deadline === undefined ? {} : { 'x-deadline-ms': String(deadline) }),
      },
      body: JSON.stringify({
        model: planned.model,
        stream: planned.streamed,
        max_tokens: planned.outputTokens,
        messages: [{ role: 'user', content: buildPrompt(planned) }],
      }),
    });
    const status = response.statusCode;
    if (status !== 200) {
      const problem = readProblem(status, await response.body.text());
      return { ...unansweredRecord, ...problem, status, duration: clock.now() - startedAt };
    }
    const request = String(response.headers['x-request-id']);
    const progress = planned.streamed
      ? await readStream(response.body, clock)
      : await readUnstreamed(response.body, clock);
    const matchesRequest = answerMatchesRequest(progress.text, request, planned.outputTokens);
    const failed = progress.error === undefined ? undefined : readProblem(status, progress.error);
    const isComplete = progress.done && matchesRequest;
    return {
      planned,
      outcome: failed?.outcome ?? (isComplete ? 'answeredWhole' : 'cutShort'),
      request,
      status,
      problem: failed?.problem,
      firstTokenAfter:
        progress.firstTokenAt === undefined ? undefined : progress.firstTokenAt - startedAt,
      duration: clock.now() - startedAt,
      outputTokens: progress.tokens,
      crossed: progress.done && !matchesRequest,
    };
  } catch (error) {
    const problem = error instanceof Error ? error.message : String(error);
    return { ...unansweredRecord, problem, duration: clock.now() - startedAt };
  }
}
