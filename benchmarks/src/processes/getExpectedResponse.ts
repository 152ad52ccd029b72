import type { SoakRoute } from './types';

const eventsPerStream = { draft: 8, chat: 40 } as const;

/**
 * Returns the chunks of the expected response: one per event of a stream, with `padding` bytes more,
 * otherwise a single one.
 */
export default function getExpectedResponse(
  route: SoakRoute,
  id: string,
  padding = 0,
): readonly string[] {
  switch (route) {
    case 'draft':
    case 'chat':
      return Array.from(
        { length: eventsPerStream[route] },
        (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}${'x'.repeat(padding)}\n\n`,
      );
    case 'order':
    case 'look':
      return [`${route} ${id}`];
    default:
      return route satisfies never;
  }
}
