import type { HedgeDecision, HedgeInputs, HedgeSkipReason } from './types';

function skip(reason: HedgeSkipReason): HedgeDecision {
  return { kind: 'skip', reason };
}

/**
 * Decides whether a second copy is sent of a request whose first copy has been silent for the delay.
 * Whether servers have spare capacity is decided where the slot is granted, and the retry budget is
 * spent after that, so that hedges which are not granted leave it to retries.
 */
export default function decideHedge(inputs: HedgeInputs): HedgeDecision {
  if (!inputs.hasAttemptsLeft) {
    return skip('noAttemptLeft');
  }
  if (inputs.timeLeft <= inputs.delay) {
    return skip('tooLate');
  }
  if (inputs.isInvestigating) {
    return skip('investigating');
  }
  return inputs.trySpendHedge() ? { kind: 'send' } : skip('overLimit');
}
