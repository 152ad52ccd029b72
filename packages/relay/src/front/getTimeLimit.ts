import type { IncomingHttpHeaders } from 'node:http';
import type { Milliseconds } from '@rattanreel/core';
import type { RouteTable } from '../decisions/types';
import type { HeaderNames } from '../types';
import getHostName from './getHostName';
import tryParsePositive from './tryParsePositive';

/** Time for a request that no route matches, and longest time where none is configured. */
const UNROUTED_TIME_LIMIT: Milliseconds = 15_000;

interface TimeLimitOptions {
  readonly headers: IncomingHttpHeaders;
  /** Path and query. */
  readonly target: string;
  readonly names: HeaderNames;
  /** Undefined until a configuration is known. */
  readonly routes: RouteTable | undefined;
}

/** Returns the time in which a request must end: that of its caller, at most that of its route. */
export default function getTimeLimit(options: TimeLimitOptions): Milliseconds {
  const { headers, names, routes } = options;
  const [path = '/'] = options.target.split('?', 1);
  const route = routes?.tryMatch(getHostName(headers.host), path);
  const header = headers[names.deadline];
  const deadline = tryParsePositive(Array.isArray(header) ? header[0] : header);
  const routeLimit = route?.timeout ?? UNROUTED_TIME_LIMIT;
  return Math.min(deadline ?? routeLimit, routeLimit);
}
