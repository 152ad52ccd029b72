import type { HandledSignal, ProcessPhase, SignalAction } from './types';

function decideReload(phase: ProcessPhase): SignalAction {
  switch (phase) {
    case 'starting':
      return { kind: 'reloadAfterStart' };
    case 'running':
      return { kind: 'reload' };
    case 'stopping':
      return { kind: 'ignore', reason: 'stopping' };
    default:
      return phase satisfies never;
  }
}

/**
 * Decides what a signal leads to. A process that stops ignores further signals: it ends when its
 * requests have, or its grace period; SIGKILL alone ends it sooner.
 */
export default function decideSignal(signal: HandledSignal, phase: ProcessPhase): SignalAction {
  switch (signal) {
    case 'SIGHUP':
      return decideReload(phase);
    case 'SIGTERM':
    case 'SIGINT':
    case 'SIGQUIT':
      return phase === 'stopping' ? { kind: 'ignore', reason: 'stopping' } : { kind: 'stop' };
    case 'SIGUSR1':
    case 'SIGUSR2':
      return { kind: 'ignore', reason: 'unused' };
    default:
      return signal satisfies never;
  }
}
