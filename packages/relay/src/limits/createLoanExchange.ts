import type { Clock, PoolId } from '@rattanreel/core';
import type createPoolLoans from './createPoolLoans';
import type { BrittlePools, LoanExchange, SlotLoans } from './types';

interface LoanedPool {
  readonly queue: { readonly size: number };
  readonly loans: ReturnType<typeof createPoolLoans>;
}

interface LoanExchangeOptions {
  readonly clock: Clock;
  readonly slotLoans: SlotLoans;
  readonly pools: ReadonlyMap<PoolId, LoanedPool>;
  readonly brittlePools: Pick<BrittlePools, 'isBrittle'>;
  /** Called when other hosts must know of a slot that was lent or returned. */
  readonly onChange: () => void;
}

/** Exchanges with other hosts which slots of brittle servers are lent. */
export default function createLoanExchange(options: LoanExchangeOptions): LoanExchange {
  const { clock, slotLoans, pools, brittlePools } = options;

  return {
    merge({ entryHost, waiting, loans }) {
      if (loans !== undefined) {
        slotLoans.merge(entryHost, loans, clock.now());
        pools.forEach((pool) => pool.loans.recordWaiting({ entryHost, waiting }));
      }
    },
    balance(reachable) {
      const changed = [...pools].filter(
        ([pool, { loans, queue }]) =>
          brittlePools.isBrittle(pool) && loans.balance(queue.size, reachable),
      );
      if (changed.length > 0) {
        options.onChange();
      }
    },
    tryGetReport: () =>
      [...pools.keys()].some(brittlePools.isBrittle) ? slotLoans.getReport(clock.now()) : undefined,
    count: slotLoans.countLoans,
  };
}
