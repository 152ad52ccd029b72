import { readFileSync, readdirSync } from 'node:fs';
import type { ProcessPeaks } from './types';

const SAMPLE_INTERVAL_MS = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;
const LISTENING_STATE = '0A';
const HEXADECIMAL = 16;

/** Returns the bytes that the connections to local ports have received and nobody has read. */
function sumUnread(ports: ReadonlySet<number>): number {
  return readFileSync('/proc/net/tcp', 'latin1')
    .split('\n')
    .slice(1)
    .reduce((sum, line) => {
      const [, local = '', , state, queues = ''] = line.trim().split(/\s+/);
      const port = parseInt(local.split(':')[1] ?? '', HEXADECIMAL);
      return state !== LISTENING_STATE && ports.has(port)
        ? sum + parseInt(queues.split(':')[1] ?? '0', HEXADECIMAL)
        : sum;
    }, 0);
}

function readField(status: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(status)?.[1] ?? 0);
}

/**
 * Watches a process and the connections to its ports (Linux only). Returns a function that ends the
 * watch and returns the peaks.
 */
export default function watchProcess(
  processId: number,
  ports: readonly number[],
): () => ProcessPeaks {
  const ownPorts = new Set(ports);
  let resident = 0;
  let memory = 0;
  let descriptors = 0;

  function sample(): void {
    try {
      const status = readFileSync(`/proc/${processId}/status`, 'latin1');
      const unread = sumUnread(ownPorts) / KILOBYTES_PER_MEGABYTE;
      resident = Math.max(resident, readField(status, 'VmHWM'));
      memory = Math.max(memory, resident, readField(status, 'VmRSS') + unread);
      descriptors = Math.max(descriptors, readdirSync(`/proc/${processId}/fd`).length);
    } catch {
      // The process has ended.
    }
  }

  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    sample();
    return {
      residentMegabytes: resident / KILOBYTES_PER_MEGABYTE,
      memoryMegabytes: memory / KILOBYTES_PER_MEGABYTE,
      descriptors,
    };
  };
}
