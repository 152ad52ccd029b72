import { writeSync } from 'node:fs';

/** Writes a line on standard error at once; a line that its reader does not take is lost. */
export default function printErrorLine(line: string): void {
  // Opening the stream makes a pipe non-blocking; its own writes emit errors that nothing handles.
  const { fd } = process.stderr;
  try {
    writeSync(fd, `${line}\n`);
  } catch {
    // There is no further place to report to.
  }
}
