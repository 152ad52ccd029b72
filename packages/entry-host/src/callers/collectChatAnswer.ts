import type { StreamUsage } from '@rattanreel/dispatch';
import type { ChatAnswer } from './types';

interface ChunkBody {
  readonly id?: string;
  readonly created?: number;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
    readonly finish_reason?: string | null;
  }[];
}

/** Builds a complete chat completion from the chunks of a stream. */
export default function collectChatAnswer(
  request: string,
  model: string,
  chunks: readonly string[],
  usage: StreamUsage | undefined,
): ChatAnswer {
  const bodies = chunks.map((chunk) => JSON.parse(chunk) as ChunkBody);
  const choices = bodies.flatMap((body) => body.choices ?? []);
  const finishReason = choices.map((choice) => choice.finish_reason).findLast((reason) => reason);
  return {
    id: `chatcmpl-${request}`,
    object: 'chat.completion',
    created: bodies[0]?.created ?? 0,
    model,
    choices: [
      {
        index: 0,
        message: {
          role: 'assistant',
          content: choices.map((choice) => choice.delta?.content ?? '').join(''),
        },
        finish_reason: finishReason ?? 'stop',
      },
    ],
    usage: {
      prompt_tokens: usage?.promptTokens ?? 0,
      completion_tokens: usage?.outputTokens ?? 0,
      total_tokens: (usage?.promptTokens ?? 0) + (usage?.outputTokens ?? 0),
      prompt_tokens_details: { cached_tokens: usage?.cachedTokens ?? 0 },
    },
  };
}
