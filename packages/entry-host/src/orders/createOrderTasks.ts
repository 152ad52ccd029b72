import { createClaimSweeper, createOrderExecutor } from '@rattanreel/orders';
import type { HostContext, OrderTasks, OrderTasksOptions } from '../types';
import createOrderDispatcher from './createOrderDispatcher';
import createOwnerQuestions from './createOwnerQuestions';
import createPeerHistory from './createPeerHistory';

/** Creates the order executor and connects it to its dispatcher and to the other entry hosts. */
export default function createOrderTasks(
  context: HostContext,
  options: OrderTasksOptions,
): OrderTasks {
  const { settings, incarnation, store, clock, random, logger } = context;
  const orderDispatcher = createOrderDispatcher(options.getServices);
  const ownerQuestions = createOwnerQuestions({
    incarnation,
    transport: options.transport,
    tryGetAddress: options.tryGetPeerAddress,
    getOrderExecutor: () => orders,
  });
  const peerHistory = createPeerHistory(clock);
  const orders = createOrderExecutor({
    entryHost: settings.entryHost,
    incarnation,
    store,
    clock,
    random,
    dispatch: orderDispatcher.dispatch,
    askOwner: ownerQuestions.askOwner,
    listPeers: () => peerHistory.getPeerView(options.listOtherIncarnations()),
    onDecision: ({ kind, order }) => logger.info({ decision: kind, order }, 'order decision'),
  });
  // The first delegate of each failure domain removes expired claims. Two at once only cost extra
  // calls.
  const sweeper = createClaimSweeper({ store, clock, random, isActive: options.isFirstDelegate });
  return {
    orders,
    orderDispatcher,
    answerOwner: ownerQuestions.answer,
    handleMembersChanged: peerHistory.handleMembersChanged,
    close: sweeper.stop,
  };
}
