import { configs, plugins } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

/** Airbnb's rules for TypeScript; each deviation states its reason. */
export default tseslint.config(
  { ignores: ['**/node_modules/**', '**/dist/**', 'reports/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // Airbnb disallows for...of because of old browsers; this program runs on Node.js only.
      'no-restricted-syntax': [
        'error',
        'ForInStatement',
        'LabeledStatement',
        'WithStatement',
        {
          selector: 'ExportNamedDeclaration',
          message: 'One export a file, as its default; shared types live in types.ts.',
        },
      ],
      'no-continue': 'off',
      // The void operator marks a promise that is deliberately not awaited.
      'no-void': ['error', { allowAsStatement: true }],
      // Tasks deliberately await one message after another.
      'no-await-in-loop': 'off',
      // Factories update the state in their closures in place.
      'no-param-reassign': ['error', { props: false }],
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      // Functions are hoisted, and variables that refer to each other are initialised before they
      // are used.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      curly: ['error', 'all'],
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/extensions': 'off',
      'import-x/order': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-unresolved': 'off',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      'n/no-process-exit': 'off',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 150, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // Prettier formats the code.
    rules: Object.fromEntries(
      Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
        `@stylistic/${name}`,
        'off',
      ]),
    ),
  },
  {
    files: ['**/types.ts', '**/index.ts'],
    rules: { 'import-x/prefer-default-export': 'off', 'no-restricted-syntax': 'off' },
  },
  {
    // Tables and suites of tests are long.
    files: ['**/*.test.ts'],
    rules: {
      'max-lines-per-function': 'off',
      'max-lines': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    files: ['**/*.mjs', '**/*.cjs'],
    languageOptions: { globals: { __dirname: 'readonly' } },
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
    },
  },
);
