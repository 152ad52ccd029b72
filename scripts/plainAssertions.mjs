import path from 'node:path';

const file = path.resolve('scripts/plainAssert.cjs');

/** Resolves `node:assert` of all bundled libraries to `plainAssert.cjs`. */
const plainAssertions = {
  name: 'plain-assertions',
  setup({ onResolve }) {
    onResolve({ filter: /^(node:)?assert$/ }, ({ importer }) =>
      importer === file ? { path: 'node:assert', external: true } : { path: file },
    );
  },
};

export default plainAssertions;
