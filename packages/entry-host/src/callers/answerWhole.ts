import type { Context } from 'hono';
import type { CallerServices, ChatJob, ChatOutcome } from './types';
import createChatProblem from './createChatProblem';
import collectChatAnswer from './collectChatAnswer';
import recordChatEnd from './recordChatEnd';
import runChat from './runChat';
import sendProblem from './sendProblem';

/** Responds with one JSON document once the engine's stream is complete. */
export default async function answerWhole(
  services: CallerServices,
  context: Context,
  job: ChatJob,
): Promise<Response> {
  const chunks: string[] = [];
  const outcome: ChatOutcome = await runChat(services, job, async (events) => {
    for (const event of events) {
      if (event.kind === 'tokens') {
        chunks.push(event.data);
      }
    }
  });
  recordChatEnd(services, job, outcome);
  const { request } = job.grantRequest;
  if (outcome.kind === 'ended' && outcome.stream.kind === 'completed') {
    const answer = collectChatAnswer(request, job.model, chunks, outcome.stream.usage);
    return context.json(answer, 200, { 'x-request-id': request });
  }
  return sendProblem(context, createChatProblem(request, outcome));
}
