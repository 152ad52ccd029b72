/**
 * Preloaded into a program: sends it the signal that TEST_SIGNAL names, once, while it loads its
 * libraries.
 */
const Module = require('node:module');
const process = require('node:process');

/* eslint-disable no-underscore-dangle -- the name is that of Node.js */
const { _load: load } = Module;
let isSent = false;

Module._load = function loadAndSignal(request, ...rest) {
  if (!isSent && /^(node:)?http$/.test(request)) {
    isSent = true;
    process.kill(process.pid, process.env.TEST_SIGNAL);
  }
  return load.call(this, request, ...rest);
};
