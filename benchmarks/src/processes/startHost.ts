import type { HostWorld } from './types';

/** Duration of the disturbance that a start causes: until the host serves its first callers. */
const START_DISTURBANCE_MILLISECONDS = 1_500;

/** Starts a process of a host, unless the run ends. */
export default function startHost({ hosts, recorder }: HostWorld, index: number): void {
  if (!recorder.isEnding) {
    recorder.recordDisturbance(index, START_DISTURBANCE_MILLISECONDS, 'started');
    hosts[index]!.start();
  }
}
