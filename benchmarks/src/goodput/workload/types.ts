/** Types of the workload's generation. */
import type { Milliseconds, Random } from '@rattanreel/core';
import type { HardwareGeneration } from '@rattanreel/stand-in-engine-model';

/** Sizes of one request. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maximumOutputTokens: number;
  /** Number of the shared prefix that the prompt begins with. */
  readonly sharedPrefix: number | undefined;
  readonly sharedTokens: number;
}

/** Measures requests and engines by the same unit: milliseconds of the reference engine. */
export interface WorkModel {
  /** Least work that a request costs on any engine. */
  getWork(size: RequestSize): Milliseconds;
  /** Work that an engine can do in a millisecond at most. */
  getSpeed(generation: HardwareGeneration): number;
  /** Mean work of a request of the mix. */
  readonly meanWork: Milliseconds;
}

export type DrawSize = (random: Random) => RequestSize;
