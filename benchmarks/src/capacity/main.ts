/** Prints the capacity table of docs/CAPACITY.md from the benchmarks' JSON. */
import meow from 'meow';
import computeRows from './computeRows';
import computeStoreLines from './computeStoreLines';
import formatTable from './formatTable';
import getCapacityTarget from './getCapacityTarget';
import readReports from './readReports';

const cli = meow(
  `
  Usage
    $ npm run capacity -- [FOLDER]

  FOLDER holds decisions.json, configuration.json, orders.json, overhead.json and memory.json; reports by default.
`,
  { importMeta: import.meta },
);

const target = getCapacityTarget();
const { measurements, missing } = readReports(cli.input[0] ?? 'reports', target.hosts);
missing.forEach(({ file, command }) => {
  process.stderr.write(`missing ${file}; make it with: ${command}\n`);
});
process.stdout.write(`${formatTable(computeRows(target, measurements), target)}\n\n`);
computeStoreLines(target, measurements).forEach((line) => {
  process.stdout.write(`- ${line}\n`);
});
