/**
 * `node:assert` for the bundles. Without a message, Node.js reads and parses the source of a failed
 * assertion; in a bundle of few, long lines that stops the event loop for seconds.
 */
const assert = require('node:assert');

function plainAssert(actual, message = 'assertion failed') {
  if (!actual) {
    throw message instanceof Error
      ? message
      : new assert.AssertionError({
          message,
          actual,
          expected: true,
          operator: '==',
          stackStartFn: plainAssert,
        });
  }
}

module.exports = Object.assign(plainAssert, assert, { ok: plainAssert });
