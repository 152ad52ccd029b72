import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { Context } from 'hono';
import type { StreamEvent } from '@rattanreel/dispatch';
import type { CallerEnvironment, CallerServices, ChatJob, ProblemDocument } from './types';
import createChatProblem from './createChatProblem';
import recordChatEnd from './recordChatEnd';
import runChat from './runChat';
import sendProblem from './sendProblem';

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
  const error = { ...problem, ...problem.error };
  return `event: error\ndata: ${JSON.stringify({ error })}\n\n`;
}

/** Writes to the caller's connection; waits for `drain` while its buffer is full. */
async function writeToCaller(outgoing: ServerResponse, text: string): Promise<void> {
  if (text === '' || outgoing.destroyed || outgoing.write(text)) {
    return;
  }
  await Promise.race([once(outgoing, 'drain'), once(outgoing, 'close')]);
}

/**
 * Relays the engine's stream. The response headers are sent with the first token, so that a refusal
 * keeps its own status. A stream that breaks after that ends with an explicit error event, never
 * silently.
 */
export default async function answerStreamed(
  services: CallerServices,
  context: Context<CallerEnvironment>,
  job: ChatJob,
): Promise<Response> {
  const { outgoing } = context.env;
  const { request } = job.grantRequest;

  const outcome = await runChat(services, job, async (events) => {
    if (events.length > 0 && !outgoing.headersSent) {
      outgoing.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': request,
      });
    }
    await writeToCaller(outgoing, formatEvents(events, job.includeUsage));
  });
  recordChatEnd(services, job, outcome);
  const completed = outcome.kind === 'ended' && outcome.stream.kind === 'completed';
  if (!outgoing.headersSent) {
    return sendProblem(context, createChatProblem(request, outcome));
  }
  if (!completed) {
    await writeToCaller(outgoing, formatProblem(createChatProblem(request, outcome)));
  }
  outgoing.end();
  return RESPONSE_ALREADY_SENT;
}
