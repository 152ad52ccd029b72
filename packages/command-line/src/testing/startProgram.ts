import { spawn } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import type { LogLine, Program, ProgramEnd } from './types';

const POLL_INTERVAL_MS = 5;
const LINE_TIMEOUT_MS = 15_000;

interface StartProgramOptions {
  /** Words after the executable of Node.js. */
  readonly words: readonly string[];
  /** Another executable than Node.js. */
  readonly executable?: string;
  readonly environment?: Readonly<Record<string, string>>;
  /** Descriptor of another standard output than the log that is read here. */
  readonly standardOutput?: number;
}

/** Starts a program as a process of its own, and reads its log. */
export default function startProgram(options: StartProgramOptions): Program {
  const child = spawn(options.executable ?? process.execPath, options.words, {
    env: { PATH: process.env.PATH, ...options.environment },
    stdio: ['ignore', options.standardOutput ?? 'pipe', 'pipe'],
  });
  const lines: LogLine[] = [];
  const unstructured: string[] = [];
  let end: ProgramEnd | undefined;

  function readLine(text: string): void {
    try {
      lines.push(JSON.parse(text) as LogLine);
    } catch {
      unstructured.push(text);
    }
  }

  [child.stdout, child.stderr].forEach((stream) => {
    let rest = '';
    stream?.setEncoding('utf8').on('data', (text: string) => {
      const parts = (rest + text).split('\n');
      rest = parts.pop() ?? '';
      parts.forEach(readLine);
    });
  });
  const ended = new Promise<ProgramEnd>((resolve) => {
    // After the exit and the last line.
    child.once('close', (code, signal) => {
      end = signal === null ? { kind: 'exited', code: code ?? 0 } : { kind: 'killed', signal };
      resolve(end);
    });
  });

  return {
    processId: child.pid ?? 0,
    ended,
    tryGetEnd: () => end,
    sendSignal: (signal) => {
      child.kill(signal);
    },
    getLines: () => lines,
    getUnstructuredLines: () => unstructured,
    async waitForLine(message) {
      const startedAt = performance.now();
      for (;;) {
        const found = lines.find(({ msg }) => msg === message);
        if (found !== undefined) {
          return found;
        }
        if (end !== undefined || performance.now() - startedAt > LINE_TIMEOUT_MS) {
          throw new Error(`no line "${message}", ${JSON.stringify(end)}: ${unstructured.join()}`);
        }
        await sleep(POLL_INTERVAL_MS);
      }
    },
  };
}
