import { match } from 'ts-pattern';
import type { FakeEngine, FakeEngineState, FakeHost, SoakFault, SoakRun } from './types';

const DETECTION_MILLISECONDS = 1_500;
const BURST_FACTOR = 3;
const SLOWED_FACTOR = 5;
const BAD_NETWORK = 0.1;

function doNothing(): void {
  // The fault ends by itself.
}

/** Schedules the faults of a scenario and their ends. */
export default function createFaultInjector(run: SoakRun, faults: readonly SoakFault[]): void {
  const { clock } = run.world;

  function engineOf(fault: SoakFault): FakeEngine {
    return run.engines[fault.target % run.engines.length]!;
  }

  function hostOf(fault: SoakFault): FakeHost {
    return run.hosts[fault.target % run.hosts.length]!;
  }

  function pauseHost(fault: SoakFault): void {
    if (fault.duration >= DETECTION_MILLISECONDS) {
      run.replaceHost(hostOf(fault));
    } else {
      hostOf(fault).pause(fault.duration);
    }
  }

  function pauseScheduler(fault: SoakFault): void {
    run.scheduler.pause(fault.duration);
    if (fault.duration >= DETECTION_MILLISECONDS) {
      clock.after(DETECTION_MILLISECONDS, run.replaceScheduler);
    }
  }

  function killScheduler(): void {
    run.scheduler.die();
    clock.after(DETECTION_MILLISECONDS, run.replaceScheduler);
  }

  function drainEngine(engine: FakeEngine, drained: boolean): void {
    engine.state.drained = drained;
    engine.state.drainedAt = drained ? clock.now() : undefined;
    run.tellPool();
  }

  function drainDomain(drained: boolean): void {
    run.flags.domainDrained = drained;
    run.tellPool();
  }

  function setState(engine: FakeEngine, state: Partial<FakeEngineState>): void {
    Object.assign(engine.state, state);
  }

  function beginAndEnd(fault: SoakFault, engine: FakeEngine): readonly [() => void, () => void] {
    return match(fault.kind)
      .with(
        'engineSlows',
        () =>
          [
            () => setState(engine, { slowness: SLOWED_FACTOR }),
            () => setState(engine, { slowness: 1 }),
          ] as const,
      )
      .with(
        'engineFails',
        () =>
          [
            () => setState(engine, { failing: true }),
            () => setState(engine, { failing: false }),
          ] as const,
      )
      .with(
        'engineSilent',
        () =>
          [
            () => setState(engine, { silent: true }),
            () => setState(engine, { silent: false }),
          ] as const,
      )
      .with(
        'engineLeaves',
        () =>
          [
            () => setState(engine, { leaving: true }),
            () => setState(engine, { leaving: false }),
          ] as const,
      )
      .with(
        'engineDrained',
        () => [() => drainEngine(engine, true), () => drainEngine(engine, false)] as const,
      )
      .with('domainDrained', () => [() => drainDomain(true), () => drainDomain(false)] as const)
      .with(
        'burst',
        () =>
          [
            () => {
              run.flags.arrivalFactor = BURST_FACTOR;
            },
            () => {
              run.flags.arrivalFactor = 1;
            },
          ] as const,
      )
      .with(
        'badNetwork',
        () =>
          [
            () => {
              run.world.badness = BAD_NETWORK;
            },
            () => {
              run.world.badness = 0;
            },
          ] as const,
      )
      .with('hostDies', () => [() => run.replaceHost(hostOf(fault)), doNothing] as const)
      .with('hostPauses', () => [() => pauseHost(fault), doNothing] as const)
      .with('schedulerDies', () => [killScheduler, doNothing] as const)
      .with('schedulerPauses', () => [() => pauseScheduler(fault), doNothing] as const)
      .with('engineTurnsCold', () => [() => engine.turnCold(), doNothing] as const)
      .with('engineRestarts', () => [() => engine.restart(fault.duration), doNothing] as const)
      .exhaustive();
  }

  faults.forEach((fault) => {
    clock.after(fault.at, () => {
      const [begin, end] = beginAndEnd(fault, engineOf(fault));
      begin();
      clock.after(fault.duration, end);
    });
  });
}
