/** Types of the baselines and of the model of the product's entry hosts. */
import type { BackendServerId, Random } from '@rattanreel/core';
import type { SimulatedEngine } from '../types';

/** State of an engine that is visible to a baseline. */
export interface BaselineView {
  readonly engine: SimulatedEngine;
  /** Requests that the choosing entry host has in flight at the engine. */
  readonly ownInFlight: number;
  /** Running and waiting requests in the latest report. */
  readonly reported: number;
}

/** Chooses one of the usable engines; `views` is never empty. */
export type BaselineChoice = (
  views: readonly BaselineView[],
  turn: number,
  random: Random,
) => BaselineView;

/** The latest load report of an engine. */
export interface ReportedLoad {
  readonly requests: number;
  readonly usable: boolean;
}

export type ReportedLoads = ReadonlyMap<BackendServerId, ReportedLoad>;
