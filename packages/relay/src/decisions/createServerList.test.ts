import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestServer from '../testing/createTestServer';
import createServerList from './createServerList';

const one = createTestServer({ id: 'one' }).listed;
const two = createTestServer({ id: 'two' }).listed;

function ids(list: ReturnType<typeof createServerList>, now: number): readonly string[] {
  return [...list.get(now).keys()].sort();
}

describe('createServerList', () => {
  it('removes a server at once while the store is reachable', () => {
    const list = createServerList();
    list.replace([one, two], 1, 0);
    list.replace([one], 2, 10);
    expect(ids(list, 10)).toEqual(['one']);
  });

  it('ignores a list older than the current one', () => {
    const list = createServerList();
    list.replace([one, two], 5, 0);
    expect(list.replace([one], 4, 10)).toEqual(false);
    expect(ids(list, 10)).toEqual(['one', 'two']);
  });

  it('retains an entry that expired during an outage until the grace period ends', () => {
    const list = createServerList();
    list.replace([one, two], 1, 0);
    list.markStoreUnreachable();
    list.markStoreReachable(5_000);
    list.replace([one], 2, 5_010);
    expect(ids(list, 6_900)).toEqual(['one', 'two']);
    expect(ids(list, 7_100)).toEqual(['one']);
  });

  it('does not let a draining server count as ready in an older copy of the store', () => {
    const list = createServerList();
    list.replace([one, { ...two, isDraining: true }], 1, 0);
    list.markStoreRestored(100);
    list.replace([one, two], 2, 110);
    expect(list.get(120).get('two')?.isDraining).toEqual(true);
  });

  it('ignores a server of an older copy that had been removed, but not its next process', () => {
    const list = createServerList();
    list.replace([one, two], 1, 0);
    list.replace([one], 2, 50);
    list.markStoreRestored(100);
    list.replace([one, two], 3, 110);
    expect(ids(list, 5_000)).toEqual(['one']);
    list.replace([one, { ...two, startedAt: 7 }], 4, 120);
    expect(ids(list, 5_000)).toEqual(['one', 'two']);
  });

  it('retains a server that an older copy lacks until it has had time to register again', () => {
    const list = createServerList();
    list.replace([one, two], 1, 0);
    list.markStoreRestored(100);
    list.replace([one], 2, 110);
    expect(ids(list, 1_000)).toEqual(['one', 'two']);
    expect(ids(list, 2_200)).toEqual(['one']);
  });

  it('does not retain a draining server during an outage', () => {
    const list = createServerList();
    list.replace([one, { ...two, isDraining: true }], 1, 0);
    list.markStoreUnreachable();
    list.markStoreReachable(5_000);
    list.replace([one], 2, 5_010);
    expect(ids(list, 5_020)).toEqual(['one']);
  });
});
