import type { RequestId } from '@rattanreel/core';
import type { Decision, DecisionLog, DecisionLogOptions, RecordedDecision } from './types';

const DEFAULT_CAPACITY = 10_000;

/** Keeps the latest decisions in a ring buffer, and writes each as one log line. */
export default function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const { logger, clock, metrics, capacity = DEFAULT_CAPACITY } = options;
  const ringBuffer: RecordedDecision[] = [];
  let nextIndex = 0;

  function append(recorded: RecordedDecision): void {
    ringBuffer[nextIndex] = recorded;
    nextIndex = (nextIndex + 1) % capacity;
  }

  function listNewestFirst(): readonly RecordedDecision[] {
    return [...ringBuffer.slice(nextIndex), ...ringBuffer.slice(0, nextIndex)].reverse();
  }

  return {
    record(decision: Decision) {
      logger.info(decision, 'decision');
      metrics?.decisionTaken(decision);
      append({ at: clock.wallTime().toISOString(), decision });
    },
    decisionsOf: (request: RequestId) =>
      listNewestFirst()
        .filter(({ decision }) => decision.kind === 'routing' && decision.request === request)
        .reverse(),
    recent: (limit) => listNewestFirst().slice(0, limit),
  };
}
