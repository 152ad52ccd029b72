import type { Dispatcher } from 'undici';
import type { Clock } from '@rattanreel/core';
import type { Route, TimedRequest } from './types';

const END_OF_STREAM = 'data: [DONE]';

/** Sends one streamed chat request and times its first chunk and its end. */
export default async function sendTimedRequest(
  dispatcher: Dispatcher,
  clock: Clock,
  route: Route,
  request: string,
  outputTokens: number,
): Promise<TimedRequest> {
  const startedAt = clock.now();
  const response = await dispatcher.request({
    origin: route.address,
    path: '/v1/chat/completions',
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-request-id': request,
      authorization: route.authorization,
    },
    body: JSON.stringify({
      model: 'assistant',
      stream: true,
      max_tokens: outputTokens,
      messages: [{ role: 'user', content: 'what fills a buckwheat cushion' }],
    }),
  });
  let firstTokenAt: number | undefined;
  let tail = '';
  for await (const chunk of response.body) {
    firstTokenAt ??= clock.now();
    tail = (tail + String(chunk)).slice(-END_OF_STREAM.length * 2);
  }
  const endedAt = clock.now();
  return {
    firstToken: (firstTokenAt ?? endedAt) - startedAt,
    total: endedAt - startedAt,
    isComplete: response.statusCode === 200 && tail.includes(END_OF_STREAM),
  };
}
