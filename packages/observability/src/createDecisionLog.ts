import type { RequestId } from '@rattanreel/core';
import type { Decision, DecisionLog, DecisionLogOptions, RecordedDecision } from './types';

const DEFAULT_CAPACITY = 10_000;

/** Keeps the latest decisions in a ring, and writes each as one log line. */
export default function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const { logger, clock, metrics, capacity = DEFAULT_CAPACITY } = options;
  const ring: RecordedDecision[] = [];
  let next = 0;

  function keep(recorded: RecordedDecision): void {
    ring[next] = recorded;
    next = (next + 1) % capacity;
  }

  function newestFirst(): readonly RecordedDecision[] {
    return [...ring.slice(next), ...ring.slice(0, next)].reverse();
  }

  return {
    record(decision: Decision) {
      logger.info(decision, 'decision');
      metrics?.decisionTaken(decision);
      keep({ at: clock.wallTime().toISOString(), decision });
    },
    decisionsOf: (request: RequestId) =>
      newestFirst()
        .filter(({ decision }) => decision.kind === 'routing' && decision.request === request)
        .reverse(),
    recent: (limit) => newestFirst().slice(0, limit),
  };
}
