/**
 * Runs the bundled program, which it holds as text: compiling it takes a tenth of a second, in which
 * the signals must have their handlers.
 */
// eslint-disable-next-line import-x/order -- a signal ends the process until its handler is bound
const { default: signalInbox } = require('../packages/command-line/src/process/signalInbox');
const process = require('node:process');
const { pathToFileURL } = require('node:url');
const vm = require('node:vm');
// Resolved by bundleProgram.mjs.
const source = require('program-source');

const script = new vm.Script(`(function (exports, require, module, importMeta) {${source}\n})`, {
  filename: 'rattanreel.bundle.cjs',
});
const program = { exports: {} };
// meow searches for a package.json from import.meta.url upwards, which a CommonJS bundle lacks.
const importMeta = { url: pathToFileURL(process.execPath).href };
script.runInThisContext()(program.exports, require, program, importMeta);
program.exports.default(signalInbox).then((code) => process.exit(code));
