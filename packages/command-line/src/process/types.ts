/** Types of the life of a host's process: its signals, its start and its end. */
import type { Milliseconds, Outcome } from '@rattanreel/core';
import type { ErrorRecorder, Logger } from '@rattanreel/observability';
import type { PeerTransportError } from '@rattanreel/transport';
import type { SettingsFileDiagnostic } from '../types';

/** Signals whose default disposition would end the process. */
export type HandledSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT' | 'SIGQUIT' | 'SIGUSR1' | 'SIGUSR2';

export interface ReceivedSignal {
  readonly signal: HandledSignal;
  /** Time since the process began. */
  readonly receivedAt: Milliseconds;
}

/** Keeps the signals that arrive before the program is ready to handle them. */
export interface SignalInbox {
  /** Calls back for each signal, beginning with those that are kept. */
  handle(listener: (received: ReceivedSignal) => void): void;
  /** Restores the default dispositions, and sends the kept signals to this process again. */
  release(): void;
}

/** The part of `process` by which signals are received and sent. */
export interface SignalSource {
  on(signal: HandledSignal, listener: () => void): void;
  off(signal: HandledSignal, listener: () => void): void;
  raise(signal: HandledSignal): void;
  /** Returns the time since the process began. */
  now(): Milliseconds;
}

export type ProcessPhase = 'starting' | 'running' | 'stopping';

/** What a signal leads to. */
export type SignalAction =
  | { readonly kind: 'reload' }
  /** The start goes on; the settings are read again after it. */
  | { readonly kind: 'reloadAfterStart' }
  | { readonly kind: 'stop' }
  | { readonly kind: 'ignore'; readonly reason: 'stopping' | 'unused' };

/** A host that a process runs. */
export interface ManagedHost {
  readonly logger: Logger;
  readonly recordError: ErrorRecorder;
  /** Begins to read the settings again; errors are logged. */
  reload(): void;
  /** Finishes the requests in flight and closes. */
  stop(): Promise<void>;
  /** Returns the time after which the process ends although the stop has not; undefined for no limit. */
  getStopTimeout(): Milliseconds | undefined;
  /** Writes the log lines that are buffered. */
  flush(): void;
}

/** Why a host did not start. */
export type StartFailure =
  | {
      readonly kind: 'invalidSettings';
      readonly fileName: string;
      readonly diagnostics: readonly SettingsFileDiagnostic[];
    }
  /** A stop was requested before the settings were read. */
  | { readonly kind: 'stoppedUnread' }
  /** The start did not end after a request to stop. */
  | { readonly kind: 'stuck' }
  | PeerTransportError;

export interface HostProcessOptions {
  readonly signals: SignalInbox;
  /** Starts the host; resolves with `stopped` soon after `signal` is aborted. */
  readonly start: (signal: AbortSignal) => Promise<Outcome<ManagedHost, StartFailure>>;
  readonly printError: (line: string) => void;
}
