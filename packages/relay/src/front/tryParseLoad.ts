interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Parses `RUNNING,WAITING,SLOTS`; undefined when the header is absent or malformed. */
export default function tryParseLoad(
  text: string | readonly string[] | undefined,
): ServerLoad | undefined {
  const match = typeof text === 'string' ? /^(\d{1,6}),(\d{1,6}),\d{1,6}$/.exec(text) : null;
  return match === null ? undefined : { running: Number(match[1]), waiting: Number(match[2]) };
}
