/** Types of the workload generator. */
import type { Milliseconds, Random } from '@rattanreel/core';
import type { HardwareGeneration } from '@rattanreel/stand-in-engine-model';

/** Sizes of one request. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maximumOutputTokens: number;
  /** Number of the shared prefix that the prompt begins with; undefined without one. */
  readonly sharedPrefix: number | undefined;
  readonly sharedTokens: number;
}

/** Measures requests and engines in the same unit: milliseconds of the reference engine. */
export interface WorkModel {
  /** Returns the minimum work that a request costs on any engine. */
  getWork(size: RequestSize): Milliseconds;
  /** Returns the maximum work that an engine does in a millisecond. */
  getSpeed(generation: HardwareGeneration): number;
  /** Mean work of a request of the mix. */
  readonly meanWork: Milliseconds;
}

export type DrawSize = (random: Random) => RequestSize;
