import meow from 'meow';
import models from './models';
import runModelCheck from './runModelCheck';

const command = meow(
  `
  Explores the models of the core protocol exhaustively and checks their invariants.

  Usage
    $ npm run model-check
    $ npm run model-check -- --break NAME

  Options
    --break  Drops the named guard: the violation that follows is printed, and the exit code is 1
`,
  { importMeta: import.meta, flags: { break: { type: 'string' } } },
);

process.exitCode = runModelCheck({
  models,
  droppedGuard: command.flags.break,
  print: (line) => process.stdout.write(`${line}\n`),
});
