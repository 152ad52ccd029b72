import { describe, it } from 'node:test';
import { expect } from 'earl';
import createDelayEstimate from './createDelayEstimate';

interface Case {
  readonly name: string;
  /** When turns with late timers ran, and the delays of these timers. */
  readonly turns: readonly (readonly [at: number, ...delays: number[]])[];
  readonly now: number;
  readonly delay: number;
}

const cases: readonly Case[] = [
  { name: 'nothing without a late timer', turns: [], now: 1_000, delay: 0 },
  { name: 'nothing after a single late timer', turns: [[1_000, 900]], now: 1_010, delay: 0 },
  {
    name: 'nothing after a single late turn of several timers',
    turns: [[1_000, 900, 850]],
    now: 1_010,
    delay: 0,
  },
  {
    name: 'the smaller one of two delays',
    turns: [
      [1_000, 900],
      [2_010, 1_000],
    ],
    now: 2_020,
    delay: 900,
  },
  {
    name: 'delays that are longer than the window',
    turns: [
      [2_000, 1_950],
      [4_010, 2_000],
    ],
    now: 4_020,
    delay: 1_950,
  },
  {
    name: 'nothing a second after the recovery',
    turns: [
      [1_000, 900],
      [2_010, 1_000],
    ],
    now: 3_010,
    delay: 0,
  },
];

describe('createDelayEstimate', () => {
  cases.forEach(({ name, turns, now, delay }) => {
    // Guards against refusals for a delay that is over, or that was seen once.
    it(`expects ${name}`, () => {
      const estimate = createDelayEstimate();
      turns.forEach(([at, ...delays]) => {
        delays.forEach((each) => estimate.recordLateTimer(each, at));
        estimate.endTurn(at);
      });
      expect(estimate.getDelay(now)).toEqual(delay);
    });
  });

  const arrivalCases = [
    { name: 'one timer was late once', earlier: [], delays: [1_000], age: 0 },
    { name: 'two timers were late', earlier: [], delays: [1_000, 600], age: 300 },
    { name: 'one timer was late again', earlier: [500], delays: [700], age: 250 },
    { name: 'timers were very late', earlier: [], delays: [2_000, 1_900], age: 1_500 },
  ];
  arrivalCases.forEach(({ name, earlier, delays, age }) => {
    // Guards against an arrival time that is over 400 ms off, or set by a single timer.
    it(`estimates an arrival ${age} ms ago if ${name}`, () => {
      const estimate = createDelayEstimate();
      earlier.forEach((delay) => {
        estimate.recordLateTimer(delay, 1_000);
        estimate.endTurn(1_000);
      });
      delays.forEach((delay) => estimate.recordLateTimer(delay, 1_300));
      expect(estimate.getArrivalDelay(1_300)).toEqual(age);
      estimate.endTurn(1_300);
      expect(estimate.getArrivalDelay(1_310)).toEqual(0);
    });
  });
});
