import type { Context } from 'hono';
import { createRequestLifecycle, hashPromptPrefixes } from '@rattanreel/dispatch';
import type { ModelPoolSettings } from '@rattanreel/configuration';
import type {
  AuthenticatedCaller,
  CallerEnvironment,
  CallerConnection,
  CallerServices,
  ChatJob,
  ChatRequest,
} from './types';
import type { SettingsView } from '../types';
import answerStreamed from './answerStreamed';
import answerWhole from './answerWhole';
import authenticateCaller from './authenticateCaller';
import createAddressLookup from './createAddressLookup';
import createCallerConnection from './createCallerConnection';
import createProblem from './createProblem';
import problemTypes from './problemTypes';
import readChatRequest from './readChatRequest';
import readDeadline from './readDeadline';
import sendProblem from './sendProblem';

const CHAT_COMPLETIONS_ROUTE = '/v1/chat/completions';

interface ValidatedChatRequest {
  readonly settings: SettingsView;
  readonly caller: AuthenticatedCaller;
  readonly chat: ChatRequest;
  readonly pool: ModelPoolSettings;
  readonly deadline: number;
  readonly connection: CallerConnection;
}

function createChatJob(services: CallerServices, validated: ValidatedChatRequest): ChatJob {
  const { settings, caller, chat, pool, deadline, connection } = validated;
  const now = services.clock.now();
  const request = services.random.identifier();
  return {
    grantRequest: {
      request,
      pool: pool.id,
      tier: caller.rank,
      customer: caller.customer.id,
      customerWeight: caller.customer.weight,
      route: CHAT_COMPLETIONS_ROUTE,
      promptTokens: chat.promptWords.count,
      maximumOutputTokens: chat.maximumOutputTokens,
      prefixHashes: hashPromptPrefixes(chat.promptWords.first),
      arrivedAt: now,
      firstTokenDueAt: now + Math.min(deadline, caller.tier.firstTokenMilliseconds),
      dueAt: now + deadline,
      lifecycle: createRequestLifecycle(),
      signal: connection.signal,
    },
    callerConnection: connection,
    tier: caller.tier.id,
    model: chat.model,
    includeUsage: chat.includeUsage,
    engineBody: chat.engineBody,
    betweenTokens: caller.tier.betweenTokensMilliseconds,
    getAddress: createAddressLookup(services, settings),
  };
}

/** Handles an OpenAI-style chat completion request, streamed or not. */
export default async function handleChatCompletion(
  services: CallerServices,
  context: Context<CallerEnvironment>,
): Promise<Response> {
  const settings = services.tryGetSettings();
  if (settings === undefined) {
    return sendProblem(context, createProblem(problemTypes.notReady, 'not-run'));
  }
  const caller = authenticateCaller(
    settings,
    context.req.header('authorization'),
    context.req.header('x-tier'),
  );
  if (caller.kind === 'error') {
    return sendProblem(context, createProblem(caller.error, 'not-run'));
  }
  const chat = readChatRequest(await context.req.text());
  if (chat.kind === 'error') {
    const { detail } = chat.error;
    return sendProblem(context, createProblem(problemTypes.malformedBody, 'not-run', { detail }));
  }
  const pool = settings.tryFindModelPool(chat.value.model);
  if (pool === undefined) {
    return sendProblem(context, createProblem(problemTypes.unknownModel, 'not-run'));
  }
  const deadline = readDeadline(
    context.req.header('x-deadline-ms'),
    caller.value.tier.defaultDeadlineMilliseconds,
  );
  if (deadline === undefined) {
    const detail = 'x-deadline-ms must be a positive number of milliseconds';
    return sendProblem(context, createProblem(problemTypes.invalidHeader, 'not-run', { detail }));
  }
  const job = createChatJob(services, {
    settings,
    caller: caller.value,
    chat: chat.value,
    pool,
    deadline,
    connection: createCallerConnection(context.env.outgoing, services.admission),
  });
  return chat.value.stream
    ? answerStreamed(services, context, job)
    : answerWhole(services, context, job);
}
