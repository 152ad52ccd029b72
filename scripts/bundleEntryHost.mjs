import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import { build } from 'esbuild';

const BUILD_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
};

/** Resolves undici to the part of it that the entry host uses; the rest is a third of the bundle. */
const undiciDispatchers = {
  name: 'undici-dispatchers',
  setup({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({
      path: path.resolve('scripts/undiciDispatchers.cjs'),
    }));
  },
};

/**
 * Reads the flags with which the platform runs Node.js: V8 accepts a code cache only under the flags
 * under which it was written.
 */
function readNodeFlags() {
  const run = /^run = "node (.*) target\/entry-host\.cjs"$/m.exec(
    readFileSync('deploy/system.toml', 'utf8'),
  );
  if (run === null) {
    throw new Error('deploy/system.toml does not run target/entry-host.cjs');
  }
  return run[1].split(' ');
}

/**
 * Bundles the command `serve-platform` alone, with a cache of its compiled code: a host that starts
 * again after a failure must serve within a second on a third of a core. Writes the launcher
 * `entry-host.cjs`, the bundle and the cache into `folder`.
 */
export default async function bundleEntryHost(folder) {
  const bundle = path.join(folder, 'entry-host.bundle.cjs');
  await build({
    ...BUILD_OPTIONS,
    entryPoints: ['packages/command-line/src/servePlatformMain.ts'],
    outfile: bundle,
    plugins: [undiciDispatchers],
  });
  const launcher = path.join(folder, 'entry-host.cjs');
  await build({
    ...BUILD_OPTIONS,
    entryPoints: ['scripts/entryHostLauncher.cjs'],
    outfile: launcher,
  });
  execFileSync(process.execPath, [...readNodeFlags(), launcher], {
    env: { ...process.env, RATTANREEL_CODE_CACHE: 'create' },
    stdio: 'inherit',
  });
}
