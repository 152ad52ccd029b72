import type { HeaderNames } from '../types';
import type { ResponseHead } from '../servers/types';

const HTTP_MISDIRECTED = 421;

interface BegunOptions {
  /** Whether the route answers with streams, whose requests begin to run with their first data. */
  readonly isStream: boolean;
  readonly names: Pick<HeaderNames, 'notRun'>;
}

/**
 * Returns whether a response's head shows that its request began to run: that of a plain response
 * does, unless the server says that it did not run the request.
 */
export default function isBegunBy(head: ResponseHead, { isStream, names }: BegunOptions): boolean {
  const hasNotRun = head.status === HTTP_MISDIRECTED || head.headers[names.notRun] !== undefined;
  return !isStream && !hasNotRun;
}
