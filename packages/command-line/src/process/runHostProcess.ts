import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock, fail } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { createBoundedLogger, createErrorRecorder } from '@rattanreel/observability';
import type { Logger } from '@rattanreel/observability';
import catchUnexpectedErrors from '../catchUnexpectedErrors';
import exitCodes from '../exitCodes';
import getStartExitCode from '../getStartExitCode';
import reportSettingsDiagnostics from '../reportSettingsDiagnostics';
import type { ExitCode } from '../types';
import decideSignal from './decideSignal';
import type {
  HandledSignal,
  HostProcessOptions,
  ManagedHost,
  ProcessPhase,
  ReceivedSignal,
  StartFailure,
} from './types';

/** Why the process ends. */
type EndCause = 'stopRequested' | 'stopTimedOut' | 'startFailed' | 'unexpectedError';

/** Time for a start to end after a request to stop. */
const START_STOP_TIMEOUT_MS = 5_000;

/** Takes the place of a host that has not started, for the log lines of its process. */
function createUnstartedHost(): ManagedHost {
  const logger = createBoundedLogger({ clock: createSystemClock(), bindings: {} });
  return {
    logger,
    recordError: createErrorRecorder({ logger, countError: () => undefined }),
    reload: () => undefined,
    stop: async () => undefined,
    getStopTimeout: () => undefined,
    flush: logger.flush,
  };
}

/** Returns whether the host stopped in its time. */
async function tryStop({ stop, getStopTimeout }: ManagedHost): Promise<boolean> {
  const stopTimeout = getStopTimeout();
  const stopped = stop().then(() => true);
  if (stopTimeout === undefined) {
    return stopped;
  }
  return new Promise((resolve, reject) => {
    const timer = createSystemClock().after(stopTimeout, () => resolve(false));
    stopped.then(resolve, reject).finally(() => timer.cancel());
  });
}

/**
 * Runs a host from its start until a signal asks for its stop, and logs each signal, what it led to and
 * the end of the process. Returns the exit code. Signals that arrive during the start take effect.
 */
export default async function runHostProcess(options: HostProcessOptions): Promise<ExitCode> {
  const { signals, printError } = options;
  const startAbort = new AbortController();
  const signalCounts = new Map<HandledSignal, number>();
  let host: ManagedHost | undefined;
  let unstartedHost: ManagedHost | undefined;
  let phase: ProcessPhase = 'starting';
  let mustReload = false;
  let stoppedBy: HandledSignal | undefined;
  let onStop: () => void = () => undefined;
  const stopRequested = new Promise<void>((resolve) => {
    onStop = resolve;
  });

  /** Returns the host, or what takes its place in the log before it has started. */
  function getHost(): ManagedHost {
    unstartedHost ??= host === undefined ? createUnstartedHost() : undefined;
    return host ?? unstartedHost!;
  }

  function handleSignal({ signal, receivedAt }: ReceivedSignal): void {
    const action = decideSignal(signal, phase);
    const count = (signalCounts.get(signal) ?? 0) + 1;
    signalCounts.set(signal, count);
    const fields = { signal, count, phase, action, receivedAt: Math.round(receivedAt) };
    getHost().logger.info(fields, 'signal received');
    switch (action.kind) {
      case 'reload':
        getHost().reload();
        return;
      case 'reloadAfterStart':
        mustReload = true;
        return;
      case 'stop':
        phase = 'stopping';
        stoppedBy = signal;
        startAbort.abort();
        onStop();
        return;
      case 'ignore':
        return;
      default:
        action satisfies never;
    }
  }

  function end(cause: EndCause, exitCode: ExitCode, error?: string): ExitCode {
    const { logger, flush } = getHost();
    const level: keyof Logger = cause === 'stopRequested' ? 'info' : 'error';
    const fields = {
      cause,
      stoppedBy,
      signals: Object.fromEntries(signalCounts),
      exitCode,
      uptime: Math.round(performance.now()),
      error,
    };
    logger[level](fields, 'process ends');
    flush();
    return exitCode;
  }

  function endFailedStart(failure: StartFailure): ExitCode {
    const { logger } = getHost();
    switch (failure.kind) {
      case 'stopped':
      case 'stoppedUnread':
        return end('stopRequested', exitCodes.success);
      case 'stuck':
        return end('stopTimedOut', exitCodes.unexpected);
      case 'invalidSettings':
        reportSettingsDiagnostics({ ...failure, logger, printError });
        return end('startFailed', exitCodes.invalidInput);
      case 'invalidAddress':
      case 'plainTextOffLoopback':
      case 'addressRefused':
        logger.error(failure, 'host cannot start');
        return end('startFailed', getStartExitCode(failure));
      default:
        return failure satisfies never;
    }
  }

  /** Resolves when a start has not ended in time after a request to stop. */
  async function waitForStuckStart(): Promise<Outcome<never, StartFailure>> {
    await stopRequested;
    await sleep(START_STOP_TIMEOUT_MS);
    return fail({ kind: 'stuck' });
  }

  async function run(): Promise<ExitCode> {
    const started = await Promise.race([options.start(startAbort.signal), waitForStuckStart()]);
    if (started.kind === 'error') {
      return endFailedStart(started.error);
    }
    host = started.value;
    const running = host;
    phase = stoppedBy === undefined ? 'running' : 'stopping';
    if (mustReload) {
      running.reload();
    }
    await stopRequested;
    return (await tryStop(running))
      ? end('stopRequested', exitCodes.success)
      : end('stopTimedOut', exitCodes.unexpected);
  }

  catchUnexpectedErrors((origin, error) => getHost().recordError(origin, error));
  signals.handle(handleSignal);
  return run().catch((error: unknown) =>
    end(
      'unexpectedError',
      exitCodes.unexpected,
      error instanceof Error ? (error.stack ?? error.message) : String(error),
    ),
  );
}
