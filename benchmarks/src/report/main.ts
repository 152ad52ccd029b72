/** Writes reports/index.html from the benchmarks' JSON. */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import meow from 'meow';
import goodputSchema from './goodputSchema';
import movesSchema from './movesSchema';
import toGoodputSection from './toGoodputSection';
import toMovesSection from './toMovesSection';
import toPage from './toPage';
import tryReadReport from './tryReadReport';

const cli = meow(
  `
  Usage
    $ npm run report -- [FOLDER]

  FOLDER holds goodput.json and moves.json; reports by default. The page is written into it.
`,
  { importMeta: import.meta },
);

function createMissingSection(name: string) {
  return {
    heading: name,
    plots: [],
    notRecorded: [`${name}.json: npm run -s bench -- ${name} --json > reports/${name}.json`],
  };
}

const folder = cli.input[0] ?? 'reports';
const goodput = tryReadReport(folder, 'goodput.json', goodputSchema);
const moves = tryReadReport(folder, 'moves.json', movesSchema);
const page = toPage([
  goodput === undefined ? createMissingSection('goodput') : toGoodputSection(goodput),
  moves === undefined ? createMissingSection('moves') : toMovesSection(moves),
]);
const pageFile = path.join(folder, 'index.html');
writeFileSync(pageFile, page);
process.stdout.write(`${pageFile}\n`);
