import type { Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import decideScale from './decideScale';
import type { DutyCall, DutyReply, ScaleDemand, ScaleState } from './types';

const DECISION_INTERVAL: Milliseconds = 500;

interface ScaleOrdersOptions {
  readonly now: () => Milliseconds;
  readonly logger: Logger;
  readonly measure: () => readonly ScaleDemand[];
  /** Makes a call under the lease; undefined if it may not be made now. */
  readonly tryCall: (subject: string, call: DutyCall) => Promise<DutyReply> | undefined;
}

interface ScaleOrders {
  /** Decides and orders as the holder of the lease with this token. */
  step(token: number): void;
}

/**
 * Orders servers by pool and failure domain while this host holds the lease. A new holder knows no
 * earlier order and begins with the listed servers. An order that is not accepted is made again.
 */
export default function createScaleOrders(options: ScaleOrdersOptions): ScaleOrders {
  const { now, logger, measure, tryCall } = options;
  const states = new Map<string, ScaleState>();
  let holderToken: number | undefined;
  let nextDecisionAt = -Infinity;

  function order(subject: string, demand: ScaleDemand, desired: number, token: number): void {
    const { pool, failureDomain } = demand;
    const sent = tryCall(subject, { kind: 'scale', pool, failureDomain, desired });
    sent?.then(
      (reply) => {
        logger.info({ ...demand, desired, token, reply: reply.kind }, 'servers ordered');
        const state = states.get(subject);
        if (reply.kind === 'accepted' && state !== undefined) {
          const orderedAt = now();
          states.set(subject, { ...state, ordered: desired, orderedAt, lowSince: undefined });
        }
      },
      (error: unknown) => logger.error({ error: String(error) }, 'duty failed'),
    );
  }

  return {
    step(token) {
      if (token !== holderToken) {
        holderToken = token;
        states.clear();
      }
      if (now() < nextDecisionAt) {
        return;
      }
      nextDecisionAt = now() + DECISION_INTERVAL;
      measure().forEach((demand) => {
        const subject = `scale ${demand.pool} ${demand.failureDomain}`;
        const decision = decideScale({ now: now(), demand, state: states.get(subject) });
        states.set(subject, decision.state);
        if (decision.desired !== undefined) {
          order(subject, demand, decision.desired, token);
        }
      });
    },
  };
}
