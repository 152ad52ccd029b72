/** Types of the baselines and of the model of the product's entry hosts. */
import type { BackendServerId, Random } from '@rattanreel/core';
import type { SimulatedEngine } from '../types';

/** What a baseline sees of an engine when it chooses. */
export interface BaselineView {
  readonly engine: SimulatedEngine;
  /** Requests that the choosing entry host itself has at the engine. */
  readonly ownInFlight: number;
  /** Running and waiting requests by the newest report. */
  readonly reported: number;
}

/** Chooses among engines that may take work; never called with none. */
export type BaselineChoice = (
  views: readonly BaselineView[],
  turn: number,
  random: Random,
) => BaselineView;

/** The newest load report of an engine. */
export interface ReportedLoad {
  readonly requests: number;
  readonly usable: boolean;
}

export type ReportedLoads = ReadonlyMap<BackendServerId, ReportedLoad>;
