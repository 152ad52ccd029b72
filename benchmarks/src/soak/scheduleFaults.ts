import { match } from 'ts-pattern';
import type { FakeEngine, FakeEngineState, FakeHost, SoakFault, SoakRun } from './types';

const DETECTION_MILLISECONDS = 1_500;
const BURST_FACTOR = 3;
const SLOW_DOWN_FACTOR = 5;
const NETWORK_FAULT_SHARE = 0.1;

function doNothing(): void {
  // The fault ends by itself.
}

/** Schedules the start and the end of every fault of a scenario. */
export default function scheduleFaults(run: SoakRun, faults: readonly SoakFault[]): void {
  const { clock } = run.world;

  function getEngine(fault: SoakFault): FakeEngine {
    return run.engines[fault.target % run.engines.length]!;
  }

  function getHost(fault: SoakFault): FakeHost {
    return run.hosts[fault.target % run.hosts.length]!;
  }

  function pauseHost(fault: SoakFault): void {
    if (fault.duration >= DETECTION_MILLISECONDS) {
      run.replaceHost(getHost(fault));
    } else {
      getHost(fault).pause(fault.duration);
    }
  }

  function pauseScheduler(fault: SoakFault): void {
    run.scheduler.pause(fault.duration);
    if (fault.duration >= DETECTION_MILLISECONDS) {
      clock.after(DETECTION_MILLISECONDS, run.replaceScheduler);
    }
  }

  function killScheduler(): void {
    run.scheduler.kill();
    clock.after(DETECTION_MILLISECONDS, run.replaceScheduler);
  }

  function drainEngine(engine: FakeEngine, drained: boolean): void {
    engine.state.drained = drained;
    engine.state.drainedAt = drained ? clock.now() : undefined;
    run.publishPool();
  }

  function drainDomain(drained: boolean): void {
    run.flags.domainDrained = drained;
    run.publishPool();
  }

  function updateEngine(engine: FakeEngine, state: Partial<FakeEngineState>): void {
    Object.assign(engine.state, state);
  }

  function createFaultActions(
    fault: SoakFault,
    engine: FakeEngine,
  ): readonly [() => void, () => void] {
    return match(fault.kind)
      .with(
        'engineSlows',
        () =>
          [
            () => updateEngine(engine, { slowDownFactor: SLOW_DOWN_FACTOR }),
            () => updateEngine(engine, { slowDownFactor: 1 }),
          ] as const,
      )
      .with(
        'engineFails',
        () =>
          [
            () => updateEngine(engine, { failing: true }),
            () => updateEngine(engine, { failing: false }),
          ] as const,
      )
      .with(
        'engineSilent',
        () =>
          [
            () => updateEngine(engine, { silent: true }),
            () => updateEngine(engine, { silent: false }),
          ] as const,
      )
      .with(
        'engineLeaves',
        () =>
          [
            () => updateEngine(engine, { leaving: true }),
            () => updateEngine(engine, { leaving: false }),
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
              run.world.messageFaultShare = NETWORK_FAULT_SHARE;
            },
            () => {
              run.world.messageFaultShare = 0;
            },
          ] as const,
      )
      .with('hostDies', () => [() => run.replaceHost(getHost(fault)), doNothing] as const)
      .with('hostPauses', () => [() => pauseHost(fault), doNothing] as const)
      .with('schedulerDies', () => [killScheduler, doNothing] as const)
      .with('schedulerPauses', () => [() => pauseScheduler(fault), doNothing] as const)
      .with('engineTurnsCold', () => [() => engine.resetToCold(), doNothing] as const)
      .with('engineRestarts', () => [() => engine.restart(fault.duration), doNothing] as const)
      .exhaustive();
  }

  faults.forEach((fault) => {
    clock.after(fault.at, () => {
      const [begin, end] = createFaultActions(fault, getEngine(fault));
      begin();
      clock.after(fault.duration, end);
    });
  });
}
