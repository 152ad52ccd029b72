import type { Milliseconds } from '@rattanreel/core';
import type { CallerExchange } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
const SECONDS_DIGITS = 3;

interface Problem {
  readonly status: number;
  readonly code: string;
  /** What is known of the request's run. */
  readonly execution: 'not-run' | 'may-have-run';
  readonly retryAfter?: Milliseconds;
}

/** Sends an answer of this system's own, as a problem document (RFC 9457). */
export default function sendProblem(exchange: CallerExchange, problem: Problem): void {
  const { status, code, execution, retryAfter } = problem;
  const body = Buffer.from(JSON.stringify({ title: code, status, execution }));
  const headers = [
    'content-type',
    'application/problem+json',
    'content-length',
    String(body.length),
  ];
  if (retryAfter !== undefined) {
    const seconds = (retryAfter / MILLISECONDS_PER_SECOND).toFixed(SECONDS_DIGITS);
    headers.push('retry-after', seconds);
  }
  exchange.sendHead(status, headers);
  exchange.sendData(body);
  exchange.finish();
}
