import { z } from 'zod';
import type { ChatCompletionRequest } from './types';

const DEFAULT_OUTPUT_TOKENS = 16;

const contentPart = z.object({ type: z.string(), text: z.string().optional() });
const message = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(contentPart)]).nullish(),
});
const body = z.object({
  model: z.string(),
  stream: z.boolean().optional(),
  messages: z.array(message),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

type Content = z.infer<typeof message>['content'];

function getText(content: Content): string {
  if (typeof content === 'string') {
    return content;
  }
  return (content ?? []).map((part) => part.text ?? '').join(' ');
}

/** Reads a chat completion's body; undefined when it is not one. */
export default function parseChatCompletion(value: unknown): ChatCompletionRequest | undefined {
  const parsed = body.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const { data } = parsed;
  const text = data.messages.map(({ content }) => getText(content)).join(' ');
  return {
    model: data.model,
    stream: data.stream ?? false,
    promptWords: text.split(/\s+/).filter((word) => word.length > 0),
    outputTokens: data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
  };
}
