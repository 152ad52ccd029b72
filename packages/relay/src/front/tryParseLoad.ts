interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
}

/** `RUNNING,WAITING,SLOTS`; undefined when it is absent or cannot be read. */
export default function tryParseLoad(
  text: string | readonly string[] | undefined,
): ServerLoad | undefined {
  const match = typeof text === 'string' ? /^(\d{1,6}),(\d{1,6}),\d{1,6}$/.exec(text) : null;
  return match === null ? undefined : { running: Number(match[1]), waiting: Number(match[2]) };
}
