import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { CommandContext } from '../types';
import type { AdministrationAnswer, AdministrationCall } from './types';

const ADMINISTRATION_PATH = '/administration/v1';
const CALL_TIMEOUT_MS = 15_000;

/** Parses an answer; one that is not JSON, such as that of a path that is not served, is text. */
function parseBody(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

/** Calls the administration API; returns undefined when the entry host gives no usable answer. */
export default async function callAdministration(
  context: CommandContext,
  call: AdministrationCall,
): Promise<AdministrationAnswer | undefined> {
  const { host, token } = context.flags;
  const dispatcher: Dispatcher = new Agent({
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: CALL_TIMEOUT_MS,
  });
  try {
    const response = await request(`${host}${call.basePath ?? ADMINISTRATION_PATH}${call.path}`, {
      method: call.method,
      dispatcher,
      headers: {
        authorization: `Bearer ${token}`,
        ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
        ...call.headers,
      },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      entityTag: String(response.headers.etag ?? ''),
      body: parseBody(text),
    };
  } catch {
    return undefined;
  } finally {
    await dispatcher.close();
  }
}
