import { close, constants, fstat, open, readFile } from 'node:fs';
import { Socket } from 'node:net';
import { text } from 'node:stream/consumers';
import { addAbortSignal } from 'node:stream';
import { promisify } from 'node:util';

interface ReadTextFileOptions {
  /** Gives up the read of a pipe; the result then rejects. */
  readonly signal?: AbortSignal | undefined;
}

/** Reads a pipe to its end; waits for its first writer. */
function readPipe(descriptor: number, signal: AbortSignal | undefined): Promise<string> {
  const pipe = new Socket({ fd: descriptor, readable: true, writable: false });
  return text(signal === undefined ? pipe : addAbortSignal(signal, pipe));
}

async function readRegularFile(descriptor: number): Promise<string> {
  try {
    return await promisify(readFile)(descriptor, 'utf8');
  } finally {
    await promisify(close)(descriptor);
  }
}

/**
 * Reads a regular file or a pipe as UTF-8; rejects for other kinds of file. The exit of the process
 * does not wait for a pipe that nobody writes to, as it would for a blocking read.
 */
export default async function readTextFile(
  fileName: string,
  { signal }: ReadTextFileOptions = {},
): Promise<string> {
  // Without a writer, a blocking open of a pipe does not return.
  const descriptor = await promisify(open)(fileName, constants.O_NONBLOCK);
  const status = await promisify(fstat)(descriptor);
  if (status.isFIFO()) {
    return readPipe(descriptor, signal);
  }
  if (status.isFile()) {
    return readRegularFile(descriptor);
  }
  await promisify(close)(descriptor);
  throw new Error('neither a regular file nor a pipe');
}
