import type { SoakRoute } from './types';

const EVENTS_PER_STREAM = 8;

/**
 * Returns the chunks of the expected response: one per event of a stream, otherwise a single one.
 */
export default function getExpectedResponse(route: SoakRoute, id: string): readonly string[] {
  return route === 'draft'
    ? Array.from(
        { length: EVENTS_PER_STREAM },
        (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`,
      )
    : [`${route} ${id}`];
}
