/** Bundles the program into one file: `node scripts/bundle.mjs FILE`. */
import process from 'node:process';
import bundleProgram from './bundleProgram.mjs';

await bundleProgram(process.argv[2] ?? 'target/rattanreel.cjs');
