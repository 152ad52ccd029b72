import createSignalInbox from './createSignalInbox';

/**
 * The signals of this process. Entry points import this module before all others, since a signal ends
 * the process until its handler is bound.
 */
const signalInbox = createSignalInbox({
  on: (signal, listener) => process.on(signal, listener),
  off: (signal, listener) => process.off(signal, listener),
  raise: (signal) => process.kill(process.pid, signal),
  now: () => performance.now(),
});

export default signalInbox;
