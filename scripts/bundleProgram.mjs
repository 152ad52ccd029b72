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

/** Resolves `program-source` to the text of the bundled program. */
function createSourcePlugin(source) {
  return {
    name: 'program-source',
    setup({ onResolve, onLoad }) {
      onResolve({ filter: /^program-source$/ }, () => ({ path: 'source', namespace: 'program' }));
      onLoad({ filter: /.*/, namespace: 'program' }, () => ({ contents: source, loader: 'text' }));
    },
  };
}

/** Bundles the program and its libraries into the file `outfile`. */
export default async function bundleProgram(outfile) {
  const { outputFiles } = await build({
    ...BUILD_OPTIONS,
    entryPoints: ['packages/command-line/src/runProgram.ts'],
    write: false,
    define: { 'import.meta': 'importMeta' },
  });
  await build({
    ...BUILD_OPTIONS,
    entryPoints: ['scripts/programLauncher.cjs'],
    plugins: [createSourcePlugin(outputFiles[0].text)],
    outfile,
  });
}
