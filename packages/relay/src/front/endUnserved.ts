import type { RefusalReason } from '../types';
import type { AnswerRelay, RelayRequestOptions } from './types';

interface EndUnservedOptions extends RelayRequestOptions {
  readonly answer: AnswerRelay;
  /** Whether an attempt before this one may have run. */
  readonly mayHaveRun: boolean;
  readonly reason: RefusalReason;
}

/** Ends a request that no backend server is running: refused when it certainly has not run, failed otherwise. */
export default function endUnserved(options: EndUnservedOptions): void {
  const { exchange, answer, mayHaveRun, reason } = options;
  if (answer.isCommitted()) {
    exchange.breakOff();
  } else if (mayHaveRun) {
    options.failWith(reason === 'deadlinePassed' ? 504 : 502, reason);
  } else {
    options.refuse(reason);
  }
}
