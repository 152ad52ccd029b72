import { createSystemClock } from '@rattanreel/core';
import { createBoundedLogger, createErrorRecorder } from '@rattanreel/observability';
import type { ErrorRecorder, Logger } from '@rattanreel/observability';
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
  let waitingForHost: ((host: ManagedHost) => void)[] = [];
  let host: ManagedHost | undefined;
  let phase: ProcessPhase = 'starting';
  let stoppedBy: HandledSignal | undefined;
  let onStop: () => void = () => undefined;
  const stopRequested = new Promise<void>((resolve) => {
    onStop = resolve;
  });

  function withHost(action: (host: ManagedHost) => void): void {
    if (host === undefined) {
      waitingForHost.push(action);
    } else {
      action(host);
    }
  }

  function setHost(next: ManagedHost): ManagedHost {
    host = next;
    const actions = waitingForHost;
    waitingForHost = [];
    actions.forEach((action) => action(next));
    return next;
  }

  const recordError: ErrorRecorder = (origin, error) =>
    withHost((started) => started.recordError(origin, error));

  function handleSignal({ signal, receivedAt }: ReceivedSignal): void {
    const action = decideSignal(signal, phase);
    const count = (signalCounts.get(signal) ?? 0) + 1;
    signalCounts.set(signal, count);
    const fields = { signal, count, phase, action, receivedAt: Math.round(receivedAt) };
    withHost(({ logger }) => logger.info(fields, 'signal received'));
    switch (action.kind) {
      case 'reload':
      case 'reloadAfterStart':
        withHost((started) => started.reload());
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
    const { logger, flush } = host ?? setHost(createUnstartedHost());
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
    const { logger } = setHost(createUnstartedHost());
    switch (failure.kind) {
      case 'stopped':
        return end('stopRequested', exitCodes.success);
      case 'invalidSettings':
        reportSettingsDiagnostics({ ...failure, logger, printError });
        return end('startFailed', exitCodes.invalidInput);
      case 'invalidAddress':
      case 'plainTextOffLoopback':
      case 'addressRefused':
        logger.error(failure, 'host cannot start');
        printError(`host cannot start: ${JSON.stringify(failure)}`);
        return end('startFailed', getStartExitCode(failure));
      default:
        return failure satisfies never;
    }
  }

  async function run(): Promise<ExitCode> {
    const started = await options.start(startAbort.signal);
    if (started.kind === 'error') {
      return endFailedStart(started.error);
    }
    phase = stoppedBy === undefined ? 'running' : 'stopping';
    const running = setHost(started.value);
    await stopRequested;
    return (await tryStop(running))
      ? end('stopRequested', exitCodes.success)
      : end('stopTimedOut', exitCodes.unexpected);
  }

  catchUnexpectedErrors(recordError);
  signals.handle(handleSignal);
  return run().catch((error: unknown) =>
    end(
      'unexpectedError',
      exitCodes.unexpected,
      error instanceof Error ? (error.stack ?? error.message) : String(error),
    ),
  );
}
