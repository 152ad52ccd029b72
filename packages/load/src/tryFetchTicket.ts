import type { Dispatcher } from 'undici';

/** Fetches a ticket from an entry host; returns undefined on any failure. */
export default async function tryFetchTicket(
  dispatcher: Dispatcher,
  entryHost: string,
  apiKey: string,
): Promise<string | undefined> {
  try {
    const response = await dispatcher.request({
      origin: entryHost,
      path: '/v1/tickets',
      method: 'POST',
      headers: { authorization: `Bearer ${apiKey}` },
    });
    const body = (await response.body.json()) as { readonly ticket?: string };
    return body.ticket;
  } catch {
    return undefined;
  }
}
