import type { SoakRoute } from './types';

const EVENTS_PER_STREAM = 8;

/** Pieces of the answer to a request: one for a whole answer, one an event for a stream. */
export default function getExpectedResponse(route: SoakRoute, id: string): readonly string[] {
  return route === 'draft'
    ? Array.from(
        { length: EVENTS_PER_STREAM },
        (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`,
      )
    : [`${route} ${id}`];
}
