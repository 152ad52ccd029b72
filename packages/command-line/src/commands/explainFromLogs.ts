import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

/** Fields omitted from a line's details: those that begin the line, the level and the request. */
const HEADING_FIELDS: ReadonlySet<string> = new Set(['time', 'host', 'msg', 'level', 'request']);

interface FormattedLine {
  readonly time: string;
  readonly text: string;
}

/** Parses a log line, skipping any text before the object; returns undefined for other text. */
function tryParseLogLine(line: string): Record<string, unknown> | undefined {
  const start = line.indexOf('{"level"');
  if (start < 0) {
    return undefined;
  }
  try {
    return JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

function formatLogLine(fields: Record<string, unknown>): FormattedLine {
  const { time, host, msg } = fields;
  const rest = Object.entries(fields).filter(([name]) => !HEADING_FIELDS.has(name));
  const details = JSON.stringify(Object.fromEntries(rest));
  const text = `${String(time)} ${String(host)} ${String(msg)} ${details}`;
  return { time: String(time), text };
}

/** Returns the formatted log lines about one request from several hosts, sorted by their times. */
export default async function explainFromLogs(
  request: string,
  fileNames: readonly string[],
): Promise<readonly string[]> {
  const formattedLines: FormattedLine[] = [];
  for (let index = 0; index < fileNames.length; index += 1) {
    const input = createReadStream(fileNames[index]!, 'utf8');

    for await (const line of createInterface({ input })) {
      const fields = line.includes(request) ? tryParseLogLine(line) : undefined;
      if (fields?.request === request) {
        formattedLines.push(formatLogLine(fields));
      }
    }
  }
  return formattedLines
    .sort((left, right) => (left.time < right.time ? -1 : 1))
    .map(({ text }) => text);
}
