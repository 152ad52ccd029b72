import meow from 'meow';
import commandTable from './commandTable';
import exitCodes from './exitCodes';
import type { SignalInbox } from './process/types';
import type { ExitCode } from './types';

const DEFAULT_DURATION_SECONDS = 15;
const DEFAULT_SEED = 11;
const DEFAULT_REQUESTS_PER_SECOND = 20;

/** Parses the arguments; exits after `--help` and `--version`. */
function parseArguments() {
  return meow(
    `
  Usage
    $ rattanreel COMMAND

  Commands
${commandTable.map(({ usage, summary }) => `    ${usage}\n        ${summary}`).join('\n')}

  Exit codes
    0 success, 1 unexpected failure, 2 wrong usage, 3 invalid input, 4 conflict,
    5 unavailable, 6 not allowed, 7 a promise was broken
`,
    {
      importMeta: import.meta,
      flags: {
        settings: { type: 'string' },
        output: { type: 'string' },
        json: { type: 'boolean', default: false },
        seconds: { type: 'number', default: DEFAULT_DURATION_SECONDS },
        seed: { type: 'number', default: DEFAULT_SEED },
        rate: { type: 'number', default: DEFAULT_REQUESTS_PER_SECOND },
        target: { type: 'string', isMultiple: true, default: [] },
        apiKey: { type: 'string', isMultiple: true, default: [] },
        model: { type: 'string', isMultiple: true, default: [] },
        tier: { type: 'string', isMultiple: true, default: [] },
        orders: { type: 'string' },
        host: { type: 'string' },
        token: { type: 'string' },
        deadline: { type: 'string' },
        bake: { type: 'string' },
        expectedRate: { type: 'number' },
        platform: { type: 'string' },
        to: { type: 'string' },
        log: { type: 'string', isMultiple: true, default: [] },
      },
    },
  );
}

async function runCommand(signals: SignalInbox): Promise<ExitCode> {
  const cli = parseArguments();
  const [name, ...input] = cli.input;
  const command = commandTable.find((candidate) => candidate.name === name);
  if (command === undefined) {
    process.stderr.write(cli.help);
    return exitCodes.usage;
  }
  if (command.keepsSignals !== true) {
    signals.release();
  }
  return command.run({
    input,
    signals,
    flags: {
      ...cli.flags,
      target: cli.flags.target ?? [],
      apiKey: cli.flags.apiKey ?? [],
      model: cli.flags.model ?? [],
      tier: cli.flags.tier ?? [],
      log: cli.flags.log ?? [],
    },
    print: (line) => process.stdout.write(`${line}\n`),
    printError: (line) => process.stderr.write(`${line}\n`),
  });
}

/** Runs the command that the arguments name; returns the exit code. */
export default async function runProgram(signals: SignalInbox): Promise<ExitCode> {
  try {
    return await runCommand(signals);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
    return exitCodes.unexpected;
  }
}
