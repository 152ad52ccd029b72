import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import createTestServer from '../testing/createTestServer';
import createCrashGuard from './createCrashGuard';

const FIRST_QUARANTINE = 300_000;

/** Creates a guard, and a function that lets servers end under the trait `bad`. */
function createGuard() {
  const clock = createVirtualClock();
  const guard = createCrashGuard({ clock, logger: silentLogger, onChange: () => undefined });
  let ended = 0;
  return {
    clock,
    guard,
    getBlock: (trait: string) => guard.tryGetBlock(['first', trait])?.kind,
    end(count: number): void {
      for (let index = 0; index < count; index += 1) {
        ended += 1;
        const { listed } = createTestServer({ id: `server-${ended}` });
        guard.recordBroken(listed, ['first', 'bad']);
        guard.recordEnded(listed);
        guard.recordAnswered(['first']);
      }
    },
  };
}

describe('createCrashGuard', () => {
  // Guards against a quarantine that renews itself with the ends that led to it.
  it('tries a trait again after its quarantine, and ends the trial with the first server', () => {
    const { clock, guard, getBlock, end } = createGuard();
    end(4);
    expect(getBlock('bad')).toEqual('suspended');
    clock.advance(1_100);
    expect(getBlock('bad')).toEqual('quarantined');
    clock.advance(FIRST_QUARANTINE);
    const { listed } = createTestServer({ id: 'unrelated' });
    guard.recordBroken(listed, ['other']);
    guard.recordEnded(listed);
    expect(getBlock('bad')).toEqual(undefined);
    end(1);
    expect(getBlock('bad')).toEqual('suspended');
    clock.advance(1_100);
    expect(getBlock('bad')).toEqual('quarantined');
    clock.advance(FIRST_QUARANTINE + 1_000);
    expect(getBlock('bad')).toEqual('quarantined');
  });

  // Guards against refusing traits for connections that broke while their servers went on.
  it('blocks nothing for servers that are not known to have ended', () => {
    const { guard, getBlock } = createGuard();
    for (let index = 0; index < 8; index += 1) {
      guard.recordBroken(createTestServer({ id: `s${index}` }).listed, ['first', 'bad']);
    }
    expect(getBlock('bad')).toEqual(undefined);
  });

  // Guards against requests that wait on when their prompt is quarantined.
  it('tells those who watch a trait once it is quarantined, also by another host', () => {
    const { clock, guard, end } = createGuard();
    const other = createGuard();
    const told: string[] = [];
    guard.watch(['bad'], () => told.push('this host'));
    other.guard.watch(['bad'], () => told.push('other host'));
    end(4);
    clock.advance(1_100);
    other.guard.merge(guard.tryGetReport()!);
    expect(told).toEqual(['this host', 'other host']);
    expect(other.getBlock('bad')).toEqual('quarantined');
  });

  // Guards against blaming a sound request that was at the very servers which another one ended.
  it('tells contents with the same ends apart by which arrives again, at any host', () => {
    const { clock, guard, getBlock } = createGuard();
    const other = createGuard();
    for (let index = 0; index < 3; index += 1) {
      const { listed } = createTestServer({ id: `server-${index}` });
      guard.recordBroken(listed, ['content:sound']);
      guard.recordBroken(listed, ['content:crashing']);
      guard.recordEnded(listed);
    }
    expect(getBlock('content:sound')).toEqual('suspended');
    expect(getBlock('content:crashing')).toEqual('suspended');
    other.guard.merge(guard.tryGetReport()!);
    guard.recordArrival(['content:sound'], 'retry');
    ['one', 'two', 'two'].forEach((id) => other.guard.recordArrival(['content:crashing'], id));
    guard.recordArrival(['content:crashing'], 'three');
    clock.advance(1_100);
    expect(getBlock('content:crashing')).toEqual('suspended');
    guard.merge(other.guard.tryGetReport()!);
    expect(getBlock('content:crashing')).toEqual('quarantined');
    expect(getBlock('content:sound')).toEqual(undefined);
  });

  // Guards against refusing contents without end that nothing tells apart.
  it('quarantines one of two contents in the end that arrive equally often', () => {
    const { clock, guard, getBlock } = createGuard();
    for (let index = 0; index < 3; index += 1) {
      const { listed } = createTestServer({ id: `server-${index}` });
      guard.recordBroken(listed, ['content:a', 'content:b']);
      guard.recordEnded(listed);
    }
    clock.advance(3_900);
    expect([getBlock('content:a'), getBlock('content:b')]).toEqual(['suspended', 'suspended']);
    clock.advance(200);
    expect([getBlock('content:a'), getBlock('content:b')]).toEqual(['quarantined', undefined]);
  });
});
