import { describe, it } from 'node:test';
import { expect } from 'earl';
import createVirtualClock from './createVirtualClock';

describe(createVirtualClock.name, () => {
  const cases = [
    {
      name: 'runs timers in order of their due times',
      delays: [30, 10, 20],
      advance: 25,
      ran: [10, 20],
    },
    {
      name: 'runs timers due at the same time in the order they were set',
      delays: [5, 5],
      advance: 5,
      ran: [5, 5],
    },
    { name: 'does not run timers before they are due', delays: [50], advance: 49, ran: [] },
  ];
  for (const { name, delays, advance, ran } of cases) {
    it(name, () => {
      const clock = createVirtualClock();
      const ranAt: number[] = [];
      delays.forEach((delay) => clock.after(delay, () => ranAt.push(clock.now())));
      clock.advance(advance);
      expect(ranAt).toEqual(ran);
      expect(clock.now()).toEqual(advance);
    });
  }
});
