import type { ServerLoad } from './types';

const LOAD_PATTERN = /^(\d{1,6}),(\d{1,6}),\d{1,6}(?:,([1-9]\d{0,5}))?$/;
const USUAL_PERCENT = 100;

/**
 * Parses `RUNNING,WAITING,SLOTS` with an optional fourth figure, the time that work takes in percent
 * of the usual; undefined when the header is absent or malformed.
 */
export default function tryParseLoad(
  text: string | readonly string[] | undefined,
): ServerLoad | undefined {
  const match = typeof text === 'string' ? LOAD_PATTERN.exec(text) : null;
  if (match === null) {
    return undefined;
  }
  const load = { running: Number(match[1]), waiting: Number(match[2]) };
  return match[3] === undefined ? load : { ...load, slowdown: Number(match[3]) / USUAL_PERCENT };
}
