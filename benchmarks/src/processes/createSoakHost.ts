import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import createLinkProxy from './createLinkProxy';
import soakLimits from './soakLimits';
import type { SoakHost } from './types';

interface SoakHostOptions {
  readonly index: number;
  readonly folder: string;
  readonly program: string;
  readonly failureDomain: string;
  /** First of the host's four consecutive ports. */
  readonly port: number;
  readonly seedPorts: readonly number[];
  readonly storeAddress: string;
  /** Called when the process exits without SIGKILL or SIGTERM from the soak. */
  readonly onUnexpectedExit: (detail: string) => void;
}

const HEAP_LIMIT_MEGABYTES = 110;
/** Time that the users allow a process to exit after SIGTERM. */
const GRACE_PERIOD_SECONDS = 8;

/** Creates an entry host in a separate process, which logs to `folder`. */
export default async function createSoakHost(options: SoakHostOptions): Promise<SoakHost> {
  const { index, folder, port } = options;
  const name = `edge-${index}`;
  const settingsFile = path.join(folder, `${name}.conf`);
  const log = createWriteStream(path.join(folder, `${name}.log`));
  const storeLink = await createLinkProxy(options.storeAddress);
  let child: ChildProcess | undefined;
  let reloadCount = 0;
  let isExitExpected = false;

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
      `bounds.grace-s=${GRACE_PERIOD_SECONDS}`,
      `bounds.budget-ratio=${ratio}`,
      `bounds.budget-window-s=${window / 1_000}`,
      `bounds.budget-slack=${slack}`,
      `# written ${reloadCount} times before`,
    ];
    writeFileSync(settingsFile, lines.join('\n'));
  }

  writeSettings();
  return {
    callerUrl: `http://127.0.0.1:${port}`,
    readinessUrl: `http://127.0.0.1:${port + 1}/v1/ready`,
    storeLink,
    get isRunning() {
      return child !== undefined && child.exitCode === null && child.signalCode === null;
    },
    start() {
      const heap = `--max-old-space-size=${HEAP_LIMIT_MEGABYTES}`;
      isExitExpected = false;
      child = spawn(
        process.execPath,
        [heap, options.program, 'serve-platform', '--settings', settingsFile],
        { stdio: ['ignore', 'pipe', 'pipe'] },
      );
      child.stdout?.pipe(log, { end: false });
      child.stderr?.pipe(log, { end: false });
      child.once('exit', (code, signal) => {
        if (!isExitExpected) {
          options.onUnexpectedExit(`${name}: ${signal ?? `exit code ${code}`}`);
        }
      });
    },
    sendSignal(signal) {
      isExitExpected ||= signal === 'SIGKILL' || signal === 'SIGTERM';
      child?.kill(signal);
    },
    reload() {
      reloadCount += 1;
      writeSettings();
      child?.kill('SIGHUP');
    },
    async waitForExit() {
      const exitingChild = child;
      if (
        exitingChild !== undefined &&
        exitingChild.exitCode === null &&
        exitingChild.signalCode === null
      ) {
        await new Promise((resolve) => {
          exitingChild.once('exit', resolve);
        });
      }
    },
  };
}
