/** Bundles the program into one file: `node scripts/bundle.mjs FILE`. */
import process from 'node:process';
import bundle from './bundleProgram.mjs';

await bundle(process.argv[2] ?? 'target/rattanreel.cjs');
