import type { HealthMonitor, HealthVerdict } from './types';

const FAILURE_WEIGHT = 0.15;
const FAILURES_IN_A_ROW = 3;
const BAD_FAILURE_SHARE = 0.5;
const SILENCES_IN_A_ROW = 3;
const LATE_SLOWNESS = 3;
const LATE_IN_A_ROW = 5;

/** Watches one backend server for errors, silence and steps of latency. */
export default function createHealthMonitor(): HealthMonitor {
  let failureShare = 0;
  let failuresInARow = 0;
  let silencesInARow = 0;
  let lateInARow = 0;

  function failed(): HealthVerdict {
    failureShare += FAILURE_WEIGHT * (1 - failureShare);
    failuresInARow += 1;
    const bad = failuresInARow >= FAILURES_IN_A_ROW || failureShare >= BAD_FAILURE_SHARE;
    return bad ? 'bad' : 'good';
  }

  function silent(): HealthVerdict {
    silencesInARow += 1;
    return silencesInARow >= SILENCES_IN_A_ROW ? 'bad' : 'suspect';
  }

  function succeeded(): HealthVerdict {
    failureShare -= FAILURE_WEIGHT * failureShare;
    failuresInARow = 0;
    silencesInARow = 0;
    return 'good';
  }

  return {
    get failureShare() {
      return failureShare;
    },
    finished(outcome) {
      switch (outcome) {
        case 'completed':
          return succeeded();
        case 'notConnected':
        case 'backendServerFailed':
        case 'backendServerRefused':
          return failed();
        case 'silent':
          return silent();
        case 'callerGone':
        case 'notDispatched':
          return 'good';
        default:
          return outcome satisfies never;
      }
    },
    measured(slowness) {
      lateInARow = slowness > LATE_SLOWNESS ? lateInARow + 1 : 0;
      return lateInARow >= LATE_IN_A_ROW ? 'cold' : 'good';
    },
    reset() {
      failureShare = 0;
      failuresInARow = 0;
      silencesInARow = 0;
      lateInARow = 0;
    },
  };
}
