import type { BenchmarkArguments } from './types';

type Benchmark = (options: BenchmarkArguments) => Promise<unknown>;

const BENCHMARKS: Readonly<Record<string, () => Promise<{ readonly default: Benchmark }>>> = {
  overhead: () => import('./overhead'),
  goodput: () => import('./goodput'),
  decisions: () => import('./decisions'),
  moves: () => import('./moves'),
  orders: () => import('./orders'),
  configuration: () => import('./configuration'),
  soak: () => import('./soak'),
  processes: () => import('./processes'),
};

/** Loads a benchmark by name. Throws a `RangeError` with the known names for an unknown one. */
export default async function getBenchmark(name: string): Promise<Benchmark> {
  const load = BENCHMARKS[name];
  if (load === undefined) {
    throw new RangeError(`unknown benchmark ${name}; known: ${Object.keys(BENCHMARKS).join(', ')}`);
  }
  return (await load()).default;
}
