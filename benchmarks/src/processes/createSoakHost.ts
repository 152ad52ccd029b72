import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, writeFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import createLinkProxy from './createLinkProxy';
import soakBounds from './soakBounds';
import soakLimits from './soakLimits';
import tryGetRunDelay from './tryGetRunDelay';
import type { OperatorSignal, SoakHost, SoakRecorder } from './types';
import waitForProgram from './waitForProgram';

interface SoakHostOptions {
  readonly index: number;
  readonly folder: string;
  readonly program: string;
  readonly failureDomain: string;
  /** First of the host's four consecutive ports. */
  readonly port: number;
  readonly seedPorts: readonly number[];
  readonly storeAddress: string;
  readonly recorder: SoakRecorder;
}

/** A process of a host, and what the soak did to it. */
interface SoakProcess {
  readonly child: ChildProcess;
  isAskedToStop: boolean;
  isKilled: boolean;
  isPaused: boolean;
}

const PORTS_PER_HOST = 4;
const HEAP_LIMIT_MEGABYTES = 110;
const stopSignals: ReadonlySet<OperatorSignal> = new Set(['SIGTERM', 'SIGINT', 'SIGQUIT']);

function hasEnded({ child }: SoakProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}

/** Creates an entry host in a separate process, which logs to `folder`. */
export default async function createSoakHost(options: SoakHostOptions): Promise<SoakHost> {
  const { index, folder, port, recorder } = options;
  const name = `edge-${index}`;
  const settingsFile = path.join(folder, `${name}.conf`);
  const log = createWriteStream(path.join(folder, `${name}.log`));
  const storeLink = await createLinkProxy(options.storeAddress);
  const processes: SoakProcess[] = [];
  let reloadCount = 0;

  function writeSettings(): void {
    const { ratio, window, slack } = soakLimits.retries;
    const lines = [
      `node-name=${name}`,
      'ip=127.0.0.1',
      `zone=${options.failureDomain}`,
      `listen.front=127.0.0.1:${port}`,
      `listen.ready=127.0.0.1:${port + 1}`,
      `listen.control=127.0.0.1:${port + 2}`,
      `metrics-port=${port + 3}`,
      `seed-nodes=${options.seedPorts.map((seed) => `127.0.0.1:${seed + 2}`).join(',')}`,
      `provider.addr=${storeLink.address}`,
      'provider.reads-per-s=2000',
      `bounds.grace-s=${soakBounds.grace / 1_000}`,
      `bounds.budget-ratio=${ratio}`,
      `bounds.budget-window-s=${window / 1_000}`,
      `bounds.budget-slack=${slack}`,
      `# written ${reloadCount} times before`,
    ];
    writeFileSync(settingsFile, lines.join('\n'));
  }

  /** Writes an action of the soak between the lines of the host. */
  function writeLog(line: Readonly<Record<string, unknown>>): void {
    log.write(`${JSON.stringify({ ...line, at: recorder.now() })}\n`);
  }

  function checkEnd({ child, isAskedToStop, isKilled }: SoakProcess): void {
    writeLog({ soak: 'ended', process: child.pid, by: child.signalCode ?? child.exitCode });
    const isSound = isKilled || (isAskedToStop && child.exitCode === 0);
    if (!isSound) {
      recorder.recordProcessViolation({
        promise: isAskedToStop ? 'stopEndsWell' : 'runsOn',
        detail: `${name} (${child.pid}): ${child.signalCode ?? `exit code ${child.exitCode}`}`,
      });
    }
  }

  /** Kills a process that has not ended within the grace period, as the platform does. */
  async function limitStop(stopping: SoakProcess): Promise<void> {
    const { child } = stopping;
    const processId = child.pid ?? 0;
    const [delayBefore] = await Promise.all([
      tryGetRunDelay(processId),
      Promise.race([sleep(soakBounds.grace, undefined, { ref: false }), once(child, 'exit')]),
    ]);
    if (hasEnded(stopping)) {
      return;
    }
    if (!stopping.isPaused && !stopping.isKilled) {
      const delayAfter = await tryGetRunDelay(processId);
      const delay =
        delayAfter === undefined ? 'unknown' : Math.round(delayAfter - (delayBefore ?? 0));
      recorder.recordProcessViolation({
        promise: 'stopEndsInTime',
        detail: `${name} (${processId}), ${delay} ms of it without a processor`,
      });
    }
    stopping.isKilled = true;
    child.kill('SIGKILL');
  }

  async function sendSignal(signal: OperatorSignal): Promise<void> {
    const target = processes.at(-1);
    if (target === undefined) {
      return;
    }
    await waitForProgram(target.child.pid ?? 0, () => hasEnded(target));
    if (hasEnded(target)) {
      return;
    }
    if (stopSignals.has(signal) && !target.isAskedToStop) {
      target.isAskedToStop = true;
      void limitStop(target);
    }
    recorder.recordSignal({ host: index, process: target.child.pid, signal });
    writeLog({ soak: signal, process: target.child.pid });
    target.child.kill(signal);
  }

  writeSettings();
  return {
    callerUrl: `http://127.0.0.1:${port}`,
    ports: Array.from({ length: PORTS_PER_HOST }, (_, offset) => port + offset),
    readinessUrl: `http://127.0.0.1:${port + 1}/v1/ready`,
    storeLink,
    get processId() {
      return processes.at(-1)?.child.pid;
    },
    get isRunning() {
      const current = processes.at(-1);
      return current !== undefined && !hasEnded(current);
    },
    get isStopping() {
      return processes.at(-1)?.isAskedToStop === true;
    },
    start() {
      const heap = `--max-old-space-size=${HEAP_LIMIT_MEGABYTES}`;
      const child = spawn(
        process.execPath,
        [heap, options.program, 'serve-platform', '--settings', settingsFile],
        { stdio: ['ignore', 'pipe', 'pipe'] },
      );
      child.stdout.pipe(log, { end: false });
      createInterface(child.stdout).on('line', (line) => {
        const time = /"time":"([^"]+)".*"msg":"host stopping"/.exec(line)?.[1];
        if (time !== undefined) {
          recorder.recordStopHandled(child.pid, Date.now() - Date.parse(time));
        }
      });
      child.stderr.pipe(log, { end: false });
      writeLog({ soak: 'started', process: child.pid });
      const started = { child, isAskedToStop: false, isKilled: false, isPaused: false };
      processes.push(started);
      child.once('exit', () => checkEnd(started));
    },
    control(signal) {
      const target = processes.at(-1);
      if (target !== undefined) {
        target.isKilled ||= signal === 'SIGKILL';
        target.isPaused ||= signal === 'SIGSTOP';
        target.child.kill(signal);
        writeLog({ soak: signal, process: target.child.pid });
      }
    },
    sendSignal,
    reload() {
      reloadCount += 1;
      writeSettings();
      return sendSignal('SIGHUP');
    },
    async waitForExit() {
      const running = processes.filter((each) => !hasEnded(each));
      await Promise.all(running.map(({ child }) => once(child, 'exit')));
    },
  };
}
