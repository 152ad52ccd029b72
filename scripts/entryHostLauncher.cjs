/**
 * Starts the bundle beside this file from its code cache. Without a valid cache it is compiled, which
 * takes more processor time only. With RATTANREEL_CODE_CACHE=create it writes the cache instead.
 */
// eslint-disable-next-line import-x/order -- a signal ends the process until its handler is bound
const { default: signalInbox } = require('../packages/command-line/src/process/signalInbox');
const { readFileSync, writeFileSync } = require('node:fs');
const { createRequire } = require('node:module');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

const bundle = path.join(__dirname, 'entry-host.bundle.cjs');
const cache = `${bundle}.cache`;

function tryReadCache() {
  try {
    return readFileSync(cache);
  } catch {
    return undefined;
  }
}

const isCreating = process.env.RATTANREEL_CODE_CACHE === 'create';
const source = `(function (exports, require, module) {${readFileSync(bundle, 'latin1')}\n})`;
const script = new vm.Script(source, {
  filename: bundle,
  cachedData: isCreating ? undefined : tryReadCache(),
});
const entryHost = { exports: {} };
script.runInThisContext()(entryHost.exports, createRequire(bundle), entryHost);
if (isCreating) {
  // Holds the functions that ran while the libraries were loaded, too.
  writeFileSync(cache, script.createCachedData());
} else {
  entryHost.exports.default(signalInbox).then((code) => process.exit(code));
}
