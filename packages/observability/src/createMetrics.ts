import { collectDefaultMetrics, Counter, Histogram, Registry } from 'prom-client';
import addGauge from './addGauge';
import type { Metrics } from './types';

const DURATION_BUCKETS_SECONDS = [0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 10, 30, 60, 120, 300];
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates the metrics of one process in a separate registry. */
export default function createMetrics(): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const registers = [registry];
  const requests = new Counter({
    name: 'rattanreel_requests_total',
    help: 'Requests by the way they ended.',
    labelNames: ['tier', 'pool', 'outcome'],
    registers,
  });
  const durations = new Histogram({
    name: 'rattanreel_request_seconds',
    help: 'Time from arrival to the end of the answer.',
    labelNames: ['tier', 'outcome'],
    buckets: DURATION_BUCKETS_SECONDS,
    registers,
  });
  const firstTokens = new Histogram({
    name: 'rattanreel_first_token_seconds',
    help: 'Time from dispatch to the first token.',
    labelNames: ['tier'],
    buckets: DURATION_BUCKETS_SECONDS,
    registers,
  });
  const tokens = new Counter({
    name: 'rattanreel_tokens_total',
    help: 'Tokens of ended requests: prompt, cached part of the prompt, output.',
    labelNames: ['tier', 'part'],
    registers,
  });
  const decisions = new Counter({
    name: 'rattanreel_decisions_total',
    help: 'Routing and placement decisions.',
    labelNames: ['kind', 'decision', 'reason'],
    registers,
  });
  const violations = new Counter({
    name: 'rattanreel_invariant_violations_total',
    help: 'Invariants that did not hold; anything above zero is a defect.',
    labelNames: ['code'],
    registers,
  });
  const unexpectedErrors = new Counter({
    name: 'rattanreel_unexpected_errors_total',
    help: 'Exceptions that no part of the host expected; the requests of others went on.',
    labelNames: ['origin'],
    registers,
  });

  const listenFailures = new Counter({
    name: 'rattanreel_listen_failures_total',
    help: 'Failed attempts to listen on an address of this host, or to accept a connection.',
    labelNames: ['endpoint', 'operation'],
    registers,
  });

  return {
    countListenFailure: (endpoint, operation) => listenFailures.inc({ endpoint, operation }),
    countError: (origin) => unexpectedErrors.inc({ origin }),
    requestEnded({ tier, pool, outcome, duration, firstTokenAfter, ...counts }) {
      requests.inc({ tier, pool, outcome });
      durations.observe({ tier, outcome }, duration / MILLISECONDS_PER_SECOND);
      if (firstTokenAfter !== undefined) {
        firstTokens.observe({ tier }, firstTokenAfter / MILLISECONDS_PER_SECOND);
      }
      tokens.inc({ tier, part: 'prompt' }, counts.promptTokens);
      tokens.inc({ tier, part: 'cached' }, counts.cachedTokens);
      tokens.inc({ tier, part: 'output' }, counts.outputTokens);
    },
    decisionTaken({ kind, decision, reason }) {
      // The reason of a placement decision is free text, which would make the label's cardinality
      // unbounded.
      decisions.inc({ kind, decision, reason: kind === 'routing' ? (reason ?? '') : '' });
    },
    invariantViolated: (code) => violations.inc({ code }),
    addGauge: (gauge) => addGauge(registry, gauge),
    scrape: async () => ({ contentType: registry.contentType, body: await registry.metrics() }),
  };
}
