import { Agent, Client } from 'undici';
import type { Dispatcher } from 'undici';
import { createTrackedConnector, guardResponses } from '@rattanreel/connections';
import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import toBackendServerError from './toBackendServerError';
import type { BackendServerError, ServiceResponse, ServiceRequest, ServiceClient } from './types';

const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_CONTENT_TYPE = 'application/json';

async function sendRequest(
  dispatcher: Dispatcher,
  call: ServiceRequest,
): Promise<Outcome<ServiceResponse, BackendServerError>> {
  try {
    const response = await dispatcher.request({
      origin: call.address,
      path: call.path,
      method: call.method,
      headers: call.headers,
      body: call.body === '' ? null : call.body,
      headersTimeout: call.timeout,
      bodyTimeout: call.timeout,
      signal: call.signal,
      // Prevents the HTTP client from retrying a call, whatever its method.
      idempotent: false,
    });
    const contentType = response.headers['content-type'];
    return ok({
      status: response.statusCode,
      contentType: typeof contentType === 'string' ? contentType : DEFAULT_CONTENT_TYPE,
      body: await response.body.text(),
    });
  } catch (error) {
    return fail(toBackendServerError(error));
  }
}

/** Creates a client of plain services; it never retries a call itself. */
export default function createServiceClient(): ServiceClient {
  const connector = createTrackedConnector({ timeout: CONNECT_TIMEOUT_MS });
  const guard = guardResponses(connector);
  const agent = new Agent({ pipelining: 1, connect: connector.connect });
  const pooled = agent.compose(guard);
  return {
    async call(options) {
      if (!options.dedicatedConnection) {
        return sendRequest(pooled, options);
      }
      const client = new Client(options.address, {
        pipelining: 1,
        connect: connector.connect,
      });
      const outcome = await sendRequest(client.compose(guard), options);
      await client.destroy();
      return outcome;
    },
    close: () => agent.destroy(),
  };
}
