/** Arguments that every benchmark takes. */
export interface BenchmarkArguments {
  readonly seed: number;
  /** Print one JSON document and nothing else. */
  readonly json: boolean;
  /** Maximum duration of the run, for the benchmarks that have one. */
  readonly minutes: number;
  /** Run a reduced fixed set, as CI does. */
  readonly quick: boolean;
  /** Only stops of processes as faults, for the benchmark `processes`. */
  readonly stops?: boolean;
  /** Number of hosts, for the benchmarks that take one; their default if undefined. */
  readonly hosts?: number | undefined;
}
