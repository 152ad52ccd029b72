import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { AttemptSink } from '../servers/types';
import createForwardedTasks from './createForwardedTasks';
import type { ForwardProgress, ForwardTask } from './types';

const ROOM = 1_000;
const cases = [
  { name: 'sends a body that has room', sizes: [600], sent: 1, reserved: 600 },
  { name: 'sends nothing of a body without room', sizes: [600, 600], sent: 1, reserved: 600 },
  { name: 'sends bodies that have room together', sizes: [400, 600], sent: 2, reserved: ROOM },
];

describe('createForwardedTasks', () => {
  cases.forEach(({ name, sizes, sent, reserved }) => {
    // Guards against bodies of peers that the host does not count with those of its own callers.
    it(name, () => {
      let used = 0;
      const sinks: AttemptSink[] = [];
      const reports: ForwardProgress[] = [];
      const tasks = createForwardedTasks({
        direct: {
          send(_server, _request, sink) {
            sinks.push(sink);
            return { abort: () => undefined, resume: () => undefined };
          },
          checkListening: () => undefined,
        },
        canServe: () => true,
        getArrivalTime: () => 0,
        reserveBody() {
          let held = 0;
          return {
            tryGrow(bytes) {
              const hasRoom = used + bytes <= ROOM;
              held = hasRoom ? bytes : 0;
              used += held;
              return hasRoom;
            },
            release() {
              used -= held;
              held = 0;
            },
          };
        },
      });
      sizes.forEach((size) => {
        const server = {
          id: 's',
          address: '127.0.0.1:9',
          version: 'v',
          slots: 1,
          pool: 'p',
          failureDomain: 'a',
        };
        const request = { requestId: 'r', headers: [], body: new Uint8Array(size) };
        tasks.begin({ kind: 'attempt', server, request } as unknown as ForwardTask, {
          report: (progress) => reports.push(progress) > 0,
          onDrain: () => undefined,
          end: () => undefined,
        });
      });
      expect([sinks.length, used]).toEqual([sent, reserved]);
      expect(reports).toEqual(
        sizes.slice(sent).map(() => ({ kind: 'end', outcome: { kind: 'notConnected' } })),
      );
      sinks.forEach(({ onEnd }) => onEnd({ kind: 'whole', status: 200 }));
      expect(used).toEqual(0);
    });
  });
});
