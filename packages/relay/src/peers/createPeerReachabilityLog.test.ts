import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import createPeerReachabilityLog from './createPeerReachabilityLog';

interface Case {
  readonly name: string;
  /** Reachable hosts, one list per half second. */
  readonly heard: readonly (readonly string[])[];
  readonly lines: readonly string[];
}

const cases: readonly Case[] = [
  { name: 'nothing when a host is reachable for the first time', heard: [[], ['b']], lines: [] },
  { name: 'once that a host is lost', heard: [['b'], [], []], lines: ['host lost b'] },
  {
    name: 'that a host is regained',
    heard: [['b', 'c'], ['c'], ['b', 'c']],
    lines: ['host lost b', 'host regained b'],
  },
];

describe('createPeerReachabilityLog', () => {
  cases.forEach(({ name, heard, lines }) => {
    it(`logs ${name}`, () => {
      const clock = createVirtualClock();
      const logged: string[] = [];
      const recordLine = (fields: object, message: string): void => {
        logged.push(`${message} ${String(Reflect.get(fields, 'peer'))}`);
      };
      let index = 0;
      const reachabilityLog = createPeerReachabilityLog({
        clock,
        logger: { debug: recordLine, info: recordLine, warn: recordLine, error: recordLine },
        listReachable: () => heard[index] ?? [],
      });
      heard.forEach(() => {
        clock.advance(500);
        index += 1;
      });
      reachabilityLog.stop();
      expect(logged).toEqual([...lines]);
    });
  });
});
