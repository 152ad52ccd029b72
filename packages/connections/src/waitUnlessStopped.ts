import type { Clock, Milliseconds } from '@rattanreel/core';

interface WaitOptions {
  readonly clock: Pick<Clock, 'after'>;
  readonly delay: Milliseconds;
  readonly signal: AbortSignal | undefined;
}

/** Resolves after a delay, or as soon as the signal is aborted. */
export default function waitUnlessStopped({ clock, delay, signal }: WaitOptions): Promise<void> {
  return new Promise((resolve) => {
    const timer = clock.after(delay, end);
    function end(): void {
      timer.cancel();
      signal?.removeEventListener('abort', end);
      resolve();
    }
    signal?.addEventListener('abort', end, { once: true });
  });
}
