import type { HealthMonitor, HealthAssessment } from './types';

const FAILURE_SAMPLE_WEIGHT = 0.15;
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
const BAD_FAILURE_SHARE = 0.5;
const CONSECUTIVE_TIMEOUTS_TO_EJECT = 3;
const LATE_SLOWNESS = 3;
const CONSECUTIVE_LATE_TO_RESET = 5;

/** Monitors one backend server for errors, timeouts and abrupt latency increases. */
export default function createHealthMonitor(): HealthMonitor {
  let failureShare = 0;
  let consecutiveFailures = 0;
  let consecutiveTimeouts = 0;
  let consecutiveLate = 0;

  function recordFailure(): HealthAssessment {
    failureShare += FAILURE_SAMPLE_WEIGHT * (1 - failureShare);
    consecutiveFailures += 1;
    const isBad =
      consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT || failureShare >= BAD_FAILURE_SHARE;
    return isBad ? 'bad' : 'good';
  }

  function recordTimeout(): HealthAssessment {
    consecutiveTimeouts += 1;
    return consecutiveTimeouts >= CONSECUTIVE_TIMEOUTS_TO_EJECT ? 'bad' : 'suspect';
  }

  function recordSuccess(): HealthAssessment {
    failureShare -= FAILURE_SAMPLE_WEIGHT * failureShare;
    consecutiveFailures = 0;
    consecutiveTimeouts = 0;
    return 'good';
  }

  return {
    get failureShare() {
      return failureShare;
    },
    recordOutcome(outcome) {
      switch (outcome) {
        case 'completed':
          return recordSuccess();
        case 'notConnected':
        case 'backendServerFailed':
        case 'backendServerRefused':
          return recordFailure();
        case 'silent':
          return recordTimeout();
        case 'callerGone':
        case 'notDispatched':
          return 'good';
        default:
          return outcome satisfies never;
      }
    },
    recordSlowness(slowness) {
      consecutiveLate = slowness > LATE_SLOWNESS ? consecutiveLate + 1 : 0;
      return consecutiveLate >= CONSECUTIVE_LATE_TO_RESET ? 'cold' : 'good';
    },
    reset() {
      failureShare = 0;
      consecutiveFailures = 0;
      consecutiveTimeouts = 0;
      consecutiveLate = 0;
    },
  };
}
