import type { AttemptEnd } from '../types';
import type { AnswerRelay, RelayRequestOptions } from './types';

interface EndBrokenOptions extends RelayRequestOptions {
  readonly answer: AnswerRelay;
  readonly end: AttemptEnd;
}

/** Ends a request whose last attempt broke: nothing that was cut may look complete. */
export default function endBroken(options: EndBrokenOptions): void {
  const { exchange, plan, answer, end, observer } = options;
  const isTimeout = end.kind === 'aborted' && end.reason === 'timeout';
  const reason = isTimeout ? 'timeout' : 'serverBroke';
  if (answer.isCommitted()) {
    observer.brokenOff(plan, reason);
    exchange.breakOff();
  } else {
    options.failWith(isTimeout ? 504 : 502, reason);
  }
}
