import type { HandledSignal, ReceivedSignal, SignalInbox, SignalSource } from './types';

const handledSignals: readonly HandledSignal[] = [
  'SIGHUP',
  'SIGTERM',
  'SIGINT',
  'SIGQUIT',
  'SIGUSR1',
  'SIGUSR2',
];
const MAXIMUM_KEPT_SIGNALS = 64;

/** Binds the handlers of all signals at once, and keeps what arrives until somebody handles it. */
export default function createSignalInbox(source: SignalSource): SignalInbox {
  let kept: ReceivedSignal[] = [];
  let deliver = (received: ReceivedSignal): void => {
    if (kept.length < MAXIMUM_KEPT_SIGNALS) {
      kept.push(received);
    }
  };
  const bindings = handledSignals.map((signal) => ({
    signal,
    listener: () => deliver({ signal, receivedAt: source.now() }),
  }));
  bindings.forEach(({ signal, listener }) => source.on(signal, listener));

  function takeKept(): readonly ReceivedSignal[] {
    const taken = kept;
    kept = [];
    return taken;
  }

  return {
    handle(listener) {
      deliver = listener;
      takeKept().forEach(listener);
    },
    release() {
      bindings.forEach(({ signal, listener }) => source.off(signal, listener));
      takeKept().forEach(({ signal }) => source.raise(signal));
    },
  };
}
