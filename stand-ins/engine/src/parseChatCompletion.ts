import { z } from 'zod';
import type { ChatCompletionRequest } from './types';

const DEFAULT_OUTPUT_TOKENS = 16;

const contentPartSchema = z.object({ type: z.string(), text: z.string().optional() });
const messageSchema = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(contentPartSchema)]).nullish(),
});
const bodySchema = z.object({
  model: z.string(),
  stream: z.boolean().optional(),
  messages: z.array(messageSchema),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

type MessageContent = z.infer<typeof messageSchema>['content'];

function getContentText(content: MessageContent): string {
  if (typeof content === 'string') {
    return content;
  }
  return (content ?? []).map((part) => part.text ?? '').join(' ');
}

/** Parses the body of a chat completion request; returns `undefined` if it is malformed. */
export default function parseChatCompletion(value: unknown): ChatCompletionRequest | undefined {
  const parsed = bodySchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const { data } = parsed;
  const text = data.messages.map(({ content }) => getContentText(content)).join(' ');
  return {
    model: data.model,
    stream: data.stream ?? false,
    promptWords: text.split(/\s+/).filter((word) => word.length > 0),
    outputTokens: data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
  };
}
