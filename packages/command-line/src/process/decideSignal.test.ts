import { describe, it } from 'node:test';
import { expect } from 'earl';
import createSignalInbox from './createSignalInbox';
import decideSignal from './decideSignal';
import type { HandledSignal, ProcessPhase, SignalAction } from './types';

const stop: SignalAction = { kind: 'stop' };
const ignoreStopping: SignalAction = { kind: 'ignore', reason: 'stopping' };
const ignoreUnused: SignalAction = { kind: 'ignore', reason: 'unused' };

const phases: readonly ProcessPhase[] = ['starting', 'running', 'stopping'];
const rows: readonly (readonly [HandledSignal, SignalAction, SignalAction, SignalAction])[] = [
  ['SIGHUP', { kind: 'reloadAfterStart' }, { kind: 'reload' }, ignoreStopping],
  ['SIGTERM', stop, stop, ignoreStopping],
  ['SIGINT', stop, stop, ignoreStopping],
  ['SIGQUIT', stop, stop, ignoreStopping],
  ['SIGUSR1', ignoreUnused, ignoreUnused, ignoreUnused],
  ['SIGUSR2', ignoreUnused, ignoreUnused, ignoreUnused],
];

describe(decideSignal.name, () => {
  rows.forEach(([signal, ...actions]) => {
    actions.forEach((action, index) => {
      const phase = phases[index]!;
      // Guards against a signal whose default disposition ends a process with requests in flight.
      it(`${signal} while ${phase}: ${action.kind}`, () => {
        expect(decideSignal(signal, phase)).toEqual(action);
      });
    });
  });
});

describe(createSignalInbox.name, () => {
  function createSource() {
    const listeners = new Map<HandledSignal, () => void>();
    const raised: HandledSignal[] = [];
    let time = 0;
    const inbox = createSignalInbox({
      on: (signal, listener) => listeners.set(signal, listener),
      off: (signal) => listeners.delete(signal),
      raise: (signal) => raised.push(signal),
      now: () => {
        time += 1;
        return time;
      },
    });
    return { inbox, raised, send: (signal: HandledSignal) => listeners.get(signal)?.() };
  }

  // Guards against signals of the start that are lost.
  it('delivers what arrived before it was handled, in order, once', () => {
    const { inbox, send } = createSource();
    const received: string[] = [];
    send('SIGHUP');
    send('SIGTERM');
    inbox.handle(({ signal, receivedAt }) => received.push(`${signal} ${receivedAt}`));
    send('SIGTERM');
    expect(received).toEqual(['SIGHUP 1', 'SIGTERM 2', 'SIGTERM 3']);
  });

  // Guards against commands that no longer end by Ctrl+C.
  it('returns signals to their default dispositions', () => {
    const { inbox, raised, send } = createSource();
    send('SIGINT');
    inbox.release();
    send('SIGTERM');
    expect(raised).toEqual(['SIGINT']);
  });

  // Guards against memory that grows with signals that nobody handles.
  it('keeps 64 signals', () => {
    const { inbox, send } = createSource();
    Array.from({ length: 1_000 }, () => send('SIGUSR2'));
    let count = 0;
    inbox.handle(() => {
      count += 1;
    });
    expect(count).toEqual(64);
  });
});
