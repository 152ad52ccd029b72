import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { z } from 'zod';
import isJsonWithinLimits from './isJsonWithinLimits';
import readPromptWords from './readPromptWords';
import type { ChatRequest, MalformedBody } from './types';

const DEFAULT_OUTPUT_TOKENS = 512;
const MAXIMUM_OUTPUT_TOKENS = 32_768;

const contentPartSchema = z.looseObject({ type: z.string(), text: z.string().optional() });

const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z
    .array(
      z.looseObject({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPartSchema), z.null()]).optional(),
      }),
    )
    .min(1),
  stream: z.boolean().optional(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().max(MAXIMUM_OUTPUT_TOKENS).nullish(),
  max_completion_tokens: z.number().int().positive().max(MAXIMUM_OUTPUT_TOKENS).nullish(),
});

type ChatBody = z.infer<typeof chatBodySchema>;

function extractText(message: ChatBody['messages'][number]): string {
  if (Array.isArray(message.content)) {
    return message.content.map((part) => part.text ?? '').join(' ');
  }
  return message.content ?? '';
}

function describeIssue(error: z.ZodError): string {
  const issue = error.issues[0];
  return issue === undefined ? 'invalid body' : `${issue.path.join('.')}: ${issue.message}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Parses and validates an OpenAI-style chat completion request. */
export default function readChatRequest(text: string): Outcome<ChatRequest, MalformedBody> {
  if (!isJsonWithinLimits(text)) {
    return fail({ kind: 'malformedBody', detail: 'the body has too many values or levels' });
  }
  const json = parseJson(text);
  if (json === undefined) {
    return fail({ kind: 'malformedBody', detail: 'the body is not JSON' });
  }
  const parsed = chatBodySchema.safeParse(json);
  if (!parsed.success) {
    return fail({ kind: 'malformedBody', detail: describeIssue(parsed.error) });
  }
  const body = parsed.data;
  const prompt = body.messages.map(extractText).join(' ');
  return ok({
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    maximumOutputTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    promptWords: readPromptWords(prompt),
    // The engine always streams: a broken answer can be resumed and a disconnect is detected.
    engineBody: JSON.stringify({
      ...body,
      stream: true,
      stream_options: { include_usage: true },
    }),
  });
}
