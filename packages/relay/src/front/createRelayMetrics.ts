import { Counter, Histogram, Registry } from 'prom-client';
import { addGauge } from '@rattanreel/observability';
import type { RelayMetrics } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
const DURATION_BUCKETS_SECONDS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15];

/** Creates the counters and histograms of the relay, in a registry of their own. */
export default function createRelayMetrics(): RelayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requestCounter = new Counter({
    name: 'rattanreel_relay_requests_total',
    help: 'Requests by outcome.',
    labelNames: ['outcome', 'reason'],
    registers,
  });
  const attemptCounter = new Counter({
    name: 'rattanreel_relay_attempts_total',
    help: 'Attempts at backend servers: first attempts and retries (label value repeat).',
    labelNames: ['attempt'],
    registers,
  });
  const unsentCounter = new Counter({
    name: 'rattanreel_relay_attempts_unsent_total',
    help: 'Attempts that were stopped before their first byte was written.',
    labelNames: ['reason'],
    registers,
  });
  const staleRefusalCounter = new Counter({
    name: 'rattanreel_relay_refusals_on_stale_estimate_total',
    help: 'Refusals as expectedLate whose estimate had no sample within the last 3 seconds.',
    registers,
  });
  const durationHistogram = new Histogram({
    name: 'rattanreel_relay_answer_seconds',
    help: "Time from a request's arrival to the end of its response.",
    labelNames: ['kind', 'tier'],
    buckets: DURATION_BUCKETS_SECONDS,
    registers,
  });

  const hedgeCounter = new Counter({
    name: 'rattanreel_relay_hedges_total',
    help: 'Second copies of slow requests that were sent, won and lost, and those not sent, by reason.',
    labelNames: ['result'],
    registers,
  });
  const hedgeDelayHistogram = new Histogram({
    name: 'rattanreel_relay_hedge_delay_seconds',
    help: 'Time for which the first copy had been silent when the second one was sent.',
    buckets: DURATION_BUCKETS_SECONDS,
    registers,
  });

  const errorCounter = new Counter({
    name: 'rattanreel_relay_unexpected_errors_total',
    help: 'Exceptions that no part of the host expected; the requests of others went on.',
    labelNames: ['origin'],
    registers,
  });

  const listenFailureCounter = new Counter({
    name: 'rattanreel_relay_listen_failures_total',
    help: 'Failed attempts to listen on an address of this host, or to accept a connection.',
    labelNames: ['endpoint', 'operation'],
    registers,
  });

  const intakeEndCounter = new Counter({
    name: 'rattanreel_relay_callers_ended_total',
    help: 'Connections and incomplete requests of callers that were ended by a limit, by the limit.',
    labelNames: ['limit'],
    registers,
  });

  const endedByStopCounter = new Counter({
    name: 'rattanreel_relay_ended_by_stop_total',
    help: 'Requests, sent to a server, that the end of the grace period has ended, by their arrival.',
    labelNames: ['arrival'],
    registers,
  });

  return {
    countIntakeEnd: (limit) => intakeEndCounter.inc({ limit }),
    countEndedByStop: (arrival) => endedByStopCounter.inc({ arrival }),
    countListenFailure: (endpoint, operation) => listenFailureCounter.inc({ endpoint, operation }),
    countError: (origin) => errorCounter.inc({ origin }),
    countHedge: (result) => hedgeCounter.inc({ result }),
    observeHedgeDelay: (delay) => hedgeDelayHistogram.observe(delay / MILLISECONDS_PER_SECOND),
    countRequest: (outcome, reason) => requestCounter.inc({ outcome, reason }),
    countAttempt: (attempt) => attemptCounter.inc({ attempt: attempt > 1 ? 'repeat' : 'first' }),
    countStaleRefusal: () => staleRefusalCounter.inc(),
    countUnsent: (reason) => unsentCounter.inc({ reason }),
    observeDuration(plan, now) {
      durationHistogram.observe(
        { kind: plan.route.kind, tier: String(plan.priority.tier) },
        (now - plan.arrivedAt) / MILLISECONDS_PER_SECOND,
      );
    },
    addGauge: (gauge) => addGauge(registry, gauge),
    scrape: () => registry.metrics(),
  };
}
