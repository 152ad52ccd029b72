/**
 * Builds dist/rattanreel, a single executable that needs no node_modules: bundles the program,
 * creates a single-executable blob from it and injects the blob into a copy of the running Node.js
 * binary.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import { inject } from 'postject';
import bundleProgram from './bundleProgram.mjs';

const FOLDER = 'dist';
const BUNDLE = path.join(FOLDER, 'rattanreel.cjs');
const BLOB = path.join(FOLDER, 'rattanreel.blob');
const CONFIGURATION = path.join(FOLDER, 'sea.json');
const EXECUTABLE = path.join(FOLDER, 'rattanreel');
const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(FOLDER, { recursive: true });

await bundleProgram(BUNDLE);

writeFileSync(
  CONFIGURATION,
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIGURATION], { stdio: 'inherit' });
copyFileSync(process.execPath, EXECUTABLE);
chmodSync(EXECUTABLE, 0o755);
await inject(EXECUTABLE, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: SENTINEL });
process.stdout.write(`${EXECUTABLE}\n`);
