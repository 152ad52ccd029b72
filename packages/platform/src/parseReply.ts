import * as z from 'zod';
import type { Milliseconds } from '@rattanreel/core';
import schemas from './schemas';
import type { StoreCall, StoreReply } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_RETRY_AFTER: Milliseconds = 500;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_FOUND = 404;
const HTTP_PRECONDITION_FAILED = 412;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;
const HTTP_UNAVAILABLE = 503;

interface HttpResponse {
  readonly call: StoreCall;
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

function getRetryAfter(response: HttpResponse): Milliseconds {
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * MILLISECONDS_PER_SECOND : DEFAULT_RETRY_AFTER;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function parseSuccess(response: HttpResponse): StoreReply {
  const { call, text } = response;
  if (call.kind === 'remove') {
    return { kind: 'removed' };
  }
  const json = parseJson(text);
  if (call.kind === 'list') {
    const list = schemas.list.safeParse(json);
    return list.success ? { kind: 'list', list: list.data } : createInvalidReply(list.error);
  }
  if (call.kind === 'listHosts') {
    const hosts = schemas.hosts.safeParse(json);
    return hosts.success
      ? { kind: 'hosts', hosts: hosts.data.hosts }
      : createInvalidReply(hosts.error);
  }
  const object = schemas.object.safeParse(json);
  return object.success
    ? { kind: 'object', object: object.data }
    : createInvalidReply(object.error);
}

function createInvalidReply(error: z.ZodError): StoreReply {
  return { kind: 'invalid', detail: z.prettifyError(error) };
}

/**
 * Parses an HTTP answer of the object API. An unexpected server error counts as a lost answer,
 * because a write may have taken effect.
 */
export default function parseReply(response: HttpResponse): StoreReply {
  const { status } = response;
  if (status === HTTP_TOO_MANY_REQUESTS || status === HTTP_UNAVAILABLE) {
    const reason = status === HTTP_UNAVAILABLE ? 'outage' : 'rateLimited';
    return { kind: 'refused', reason, retryAfter: getRetryAfter(response) };
  }
  if (status === HTTP_NOT_FOUND) {
    return { kind: 'notFound' };
  }
  if (status === HTTP_PRECONDITION_FAILED) {
    const conflict = schemas.conflict.safeParse(parseJson(response.text));
    return conflict.success
      ? { kind: 'conflict', current: conflict.data.current ?? undefined }
      : createInvalidReply(conflict.error);
  }
  if (status >= HTTP_SERVER_ERROR) {
    return { kind: 'lost' };
  }
  if (status === HTTP_NO_CONTENT || (status >= 200 && status < 300)) {
    return parseSuccess(response);
  }
  return { kind: 'invalid', detail: `unexpected status ${status}` };
}
