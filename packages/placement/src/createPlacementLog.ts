import type { FailureDomainId } from '@rattanreel/core';
import type { EngineOrder, LogPlacement, PlannedEngineOrder } from './types';

interface LogOptions {
  readonly failureDomain: FailureDomainId;
  readonly decision: 'ordered' | 'held' | 'failed';
  readonly planned: PlannedEngineOrder;
}

function describeOrder(order: EngineOrder): string {
  switch (order.order) {
    case 'loadVersion':
      return `loadVersion ${order.version}`;
    case 'loadAdapter':
      return `loadAdapter ${order.adapter}`;
    case 'setRole':
      return `setRole ${order.role}`;
    default:
      return order satisfies never;
  }
}

/** Creates the log record of one placement decision: what was chosen, why, and why the alternatives were not. */
export default function createPlacementLog(options: LogOptions): LogPlacement {
  const { backendServer, pool, order, reason, alternatives } = options.planned;
  return {
    kind: 'logPlacement',
    decision: {
      kind: 'placement',
      decision: `${options.decision} ${describeOrder(order)}`,
      failureDomain: options.failureDomain,
      pool,
      backendServer,
      version: order.order === 'loadVersion' ? order.version : undefined,
      reason,
      alternatives,
    },
  };
}
