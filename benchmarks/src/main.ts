import meow from 'meow';
import getBenchmark from './getBenchmark';

const DEFAULT_SEED = 11;
const DEFAULT_MINUTES = 1;

const cli = meow(
  `
  Usage
    $ npm run bench -- NAME [--seed N] [--json] [--quick] [--minutes N] [--hosts N] [--stops]

  Names
    overhead, goodput, decisions, moves, orders, configuration, soak, processes
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: DEFAULT_SEED },
      json: { type: 'boolean', default: false },
      quick: { type: 'boolean', default: false },
      hosts: { type: 'number' },
      stops: { type: 'boolean', default: false },
      minutes: { type: 'number', default: DEFAULT_MINUTES },
    },
  },
);

const name = cli.input[0];
if (name === undefined) {
  cli.showHelp();
} else {
  const run = await getBenchmark(name);
  const result = await run(cli.flags);
  process.stdout.write(`${JSON.stringify(result, undefined, cli.flags.json ? undefined : 2)}\n`);
}
