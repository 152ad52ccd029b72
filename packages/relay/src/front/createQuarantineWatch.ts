import type { RequestId } from '@rattanreel/core';
import type { CrashGuard } from '../crashes/types';
import type { TraitId } from '../types';
import type { Refusal } from './types';

interface QuarantineWatchOptions {
  readonly crashGuard: Pick<CrashGuard, 'recordArrival' | 'tryGetBlock' | 'watch'>;
  readonly requestId: RequestId;
  readonly traits: readonly TraitId[];
  /** Called each time that a trait is quarantined. */
  readonly onQuarantined: (refusal: Refusal) => void;
}

interface QuarantineWatch {
  /** Returns the refusal of a request with these traits; undefined if it may be sent. */
  tryGetRefusal(): Refusal | undefined;
  stop(): void;
}

/** Watches whether a request with these traits may be sent, until it is stopped. */
export default function createQuarantineWatch(options: QuarantineWatchOptions): QuarantineWatch {
  const { crashGuard, traits } = options;

  function tryGetRefusal(): Refusal | undefined {
    const block = crashGuard.tryGetBlock(traits);
    return block && { reason: 'quarantined', retryAfter: block.remaining };
  }

  crashGuard.recordArrival(traits, options.requestId);
  const stop = crashGuard.watch(traits, () =>
    options.onQuarantined(tryGetRefusal() ?? { reason: 'quarantined' }),
  );
  return { tryGetRefusal, stop };
}
