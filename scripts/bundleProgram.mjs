import { build } from 'esbuild';
import plainAssertions from './plainAssertions.mjs';

/** Bundles the program and its libraries into the file `outfile`. */
export default async function bundleProgram(outfile) {
  await build({
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: 'warning',
    entryPoints: ['packages/command-line/src/main.ts'],
    outfile,
    plugins: [plainAssertions],
    // meow searches for a package.json from import.meta.url upwards, which a CommonJS bundle lacks.
    define: { 'import.meta': 'importMeta' },
    banner: {
      js: "const importMeta = { url: require('node:url').pathToFileURL(process.execPath).href };",
    },
  });
}
