/** Bundles the program into one file, and the entry host beside it: `node scripts/bundle.mjs FILE`. */
import path from 'node:path';
import process from 'node:process';
import bundleEntryHost from './bundleEntryHost.mjs';
import bundleProgram from './bundleProgram.mjs';

const file = process.argv[2] ?? 'target/rattanreel.cjs';
await bundleProgram(file);
await bundleEntryHost(path.dirname(file));
