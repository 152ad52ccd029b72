import type { Context } from 'hono';
import type { StreamEvent } from '@rattanreel/dispatch';
import type { CallerServices, ChatJob, ChatOutcome, ProblemDocument } from './types';
import chatProblem from './chatProblem';
import recordEnd from './recordEnd';
import runChat from './runChat';
import sendProblem from './sendProblem';

/** Bytes held for a slow caller before the engine's stream is read no further. */
const BUFFERED_BYTES = 262_144;

type Start = { readonly kind: 'streaming' } | { readonly kind: 'ended'; outcome: ChatOutcome };

function formatEvents(events: readonly StreamEvent[], includeUsage: boolean): string {
  let text = '';
  for (const event of events) {
    if (event.kind === 'tokens') {
      text += `data: ${event.data}\n\n`;
    } else if (event.kind === 'usage' && includeUsage) {
      text += `data: ${event.data}\n\n`;
    } else if (event.kind === 'done') {
      text += 'data: [DONE]\n\n';
    }
  }
  return text;
}

function formatProblem(problem: ProblemDocument): string {
  const error = { ...problem, message: problem.title, code: problem.type };
  return `event: error\ndata: ${JSON.stringify({ error })}\n\n`;
}

/**
 * Relays the engine's stream. The head is sent with the first token, so that a refusal keeps its own
 * status; a stream that breaks later ends in an explicit error event and never in silence.
 */
export default async function answerStreamed(
  services: CallerServices,
  context: Context,
  job: ChatJob,
): Promise<Response> {
  const encoder = new TextEncoder();
  const pipe = new TransformStream<Uint8Array, Uint8Array>(
    undefined,
    new ByteLengthQueuingStrategy({ highWaterMark: BUFFERED_BYTES }),
  );
  const writer = pipe.writable.getWriter();
  // A caller that goes away fails the writes; its request's signal ends the stream.
  writer.closed.catch(() => undefined);
  let streaming = false;

  async function write(text: string): Promise<void> {
    if (text !== '') {
      await writer.write(encoder.encode(text)).catch(() => undefined);
    }
  }

  async function finish(outcome: ChatOutcome): Promise<void> {
    recordEnd(services, job, outcome);
    const whole = outcome.kind === 'ended' && outcome.stream.kind === 'completed';
    if (streaming && !whole) {
      await write(formatProblem(chatProblem(job.ask.request, outcome)));
    }
    await writer.close().catch(() => undefined);
  }

  const start = await new Promise<Start>((resolve) => {
    async function relay(events: readonly StreamEvent[]): Promise<void> {
      if (events.length > 0 && !streaming) {
        streaming = true;
        resolve({ kind: 'streaming' });
      }
      await write(formatEvents(events, job.includeUsage));
    }

    async function run(): Promise<void> {
      services.admission.enter();
      const outcome = await runChat(services, job, relay);
      await finish(outcome);
      services.admission.leave();
      resolve({ kind: 'ended', outcome });
    }

    run().catch((error: unknown) => services.logger.error({ error }, 'chat stream failed'));
  });

  if (start.kind === 'ended' && !streaming) {
    return sendProblem(context, chatProblem(job.ask.request, start.outcome));
  }
  return context.body(pipe.readable, 200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-request-id': job.ask.request,
  });
}
