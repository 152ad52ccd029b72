import { describe, it } from 'node:test';
import { createRandom } from '@rattanreel/core';
import { expect } from 'earl';
import type { SlotLoanReport } from '../types';
import createSlotLoans from './createSlotLoans';

const ADDRESS = '10.1.0.0:1';
const HOSTS = ['a', 'b', 'c'];
const HOME = 2;

function createHost(name: string, startedAt: number, incarnation = name) {
  const loans = createSlotLoans({ ownName: name, incarnation, startedAt });
  loans.setOwners(HOSTS, HOSTS, startedAt);
  return { name, loans };
}

interface Letter {
  readonly from: string;
  readonly to: string;
  readonly report: SlotLoanReport;
}

describe('createSlotLoans', () => {
  [1, 2, 3, 4, 5, 6].forEach((seed) => {
    // Guards against counting a slot at its owner and at its borrower when messages go astray.
    it(`never lets hosts use more slots than there are, whatever arrives: seed ${seed}`, () => {
      const random = createRandom(seed);
      const hosts = HOSTS.map((name) => createHost(name, 0));
      const pick = <Item>(items: readonly Item[]): Item =>
        items[random.integer(0, items.length - 1)]!;
      let letters: Letter[] = [];
      let most = 0;
      for (let now = 3_000; now < 60_000; now += 10) {
        const host = pick(hosts);
        const other = pick(hosts.filter((each) => each !== host));
        if (random.next() < 0.5) {
          host.loans.tryLend(other.name, { address: ADDRESS, home: HOME, now });
        } else {
          host.loans.giveBack(other.name, ADDRESS, now);
        }
        letters.push({ from: host.name, to: other.name, report: host.loans.getReport(now) });
        // Letters are lost, repeated, and overtake each other.
        letters = letters.filter(() => random.next() < 0.9);
        const letter = letters.length === 0 ? undefined : pick(letters);
        const recipient = hosts.find(({ name }) => name === letter?.to);
        recipient?.loans.merge(letter!.from, letter!.report, now);
        const usable = hosts.map(({ loans }) =>
          loans.getUsable({ address: ADDRESS, home: HOME, now }),
        );
        const sum = usable.reduce((total, slots) => total + slots, 0);
        expect(sum).toBeLessThanOrEqual(HOSTS.length * HOME);
        most = Math.max(most, ...usable);
      }
      expect(most).toBeGreaterThan(HOME);
    });
  });

  // Guards against slots that stay lent for good since the message of their return was lost.
  it('gets a slot back whose return was announced during a partition', () => {
    const owner = createHost('a', 0);
    const borrower = createHost('b', 0);
    owner.loans.merge('b', borrower.loans.getReport(3_000), 3_000);
    expect(owner.loans.tryLend('b', { address: ADDRESS, home: 1, now: 3_000 })).toEqual(true);
    borrower.loans.merge('a', owner.loans.getReport(3_000), 3_000);
    borrower.loans.giveBack('a', ADDRESS, 3_100);
    const slots = { address: ADDRESS, home: 1, now: 20_000 };
    expect(owner.loans.getUsable(slots)).toEqual(0);
    borrower.loans.merge('a', owner.loans.getReport(20_000), 20_000);
    owner.loans.merge('b', borrower.loans.getReport(20_000), 20_000);
    expect(owner.loans.getUsable(slots)).toEqual(1);
  });

  // Guards against a new process of an owner that does not know what the former one had lent.
  it('ends the use of slots of an owner that is silent or has started again', () => {
    const owner = createHost('a', 0);
    const borrower = createHost('b', 0);
    const countAt = (now: number): number =>
      borrower.loans.getUsable({ address: ADDRESS, home: 0, now });
    owner.loans.merge('b', borrower.loans.getReport(3_000), 3_000);
    owner.loans.tryLend('b', { address: ADDRESS, home: 1, now: 3_000 });
    borrower.loans.merge('a', owner.loans.getReport(3_000), 3_000);
    expect(countAt(3_000)).toEqual(1);
    expect(countAt(5_100)).toEqual(0);
    borrower.loans.merge('a', owner.loans.getReport(5_200), 5_200);
    expect(countAt(5_200)).toEqual(1);
    const restarted = createHost('a', 5_300, 'a again');
    borrower.loans.merge('a', restarted.loans.getReport(5_300), 5_300);
    expect(countAt(5_300)).toEqual(0);
    const ownSlots = (now: number): number =>
      restarted.loans.getUsable({ address: ADDRESS, home: 1, now });
    expect(ownSlots(5_400)).toEqual(0);
    expect(ownSlots(7_400)).toEqual(1);
  });

  // Guards against borrowed slots that the new division of all slots gives to another owner.
  it('ends the use of slots while hosts divide them differently', () => {
    const owner = createHost('a', 0);
    const borrower = createHost('b', 0);
    owner.loans.merge('b', borrower.loans.getReport(3_000), 3_000);
    owner.loans.tryLend('b', { address: ADDRESS, home: 1, now: 3_000 });
    borrower.loans.merge('a', owner.loans.getReport(3_000), 3_000);
    borrower.loans.setOwners(['a', 'b'], HOSTS, 3_100);
    expect(borrower.loans.getUsable({ address: ADDRESS, home: 0, now: 3_100 })).toEqual(0);
  });
});
