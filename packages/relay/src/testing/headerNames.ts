import type { HeaderNames } from '../types';

/** Header names used in tests. */
const headerNames: HeaderNames = {
  requestId: 'x-request-id',
  deadline: 'x-deadline',
  key: 'x-key',
  customer: 'x-customer',
  tokenCount: 'x-token-count',
  lengthHint: 'x-length-hint',
  promptParts: 'x-prompt-parts',
  expectedServer: 'x-expected-server',
  notRun: 'x-not-run',
  load: 'x-load',
  limit: 'x-limit',
  brittle: 'x-brittle',
  leaving: 'x-leaving',
  retryAfter: 'retry-after',
  lastEventId: 'last-event-id',
  reserved: new Set(),
};

export default headerNames;
