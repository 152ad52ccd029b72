import { execFile } from 'node:child_process';
import process from 'node:process';
import { promisify } from 'node:util';

/** Bundles the programs into a folder of the tests that run them; returns the folder. */
export default async function bundlePrograms(name: string): Promise<string> {
  const folder = `target/${name}`;
  await promisify(execFile)(process.execPath, ['scripts/bundle.mjs', `${folder}/rattanreel.cjs`]);
  return folder;
}
