import { createOrderDesk } from '@rattanreel/orders';
import type { HostContext, OrderTasks, OrderTasksOptions } from '../types';
import createOrderDispatcher from './createOrderDispatcher';
import createOwnerQuestions from './createOwnerQuestions';

/** Makes the order desk of this process and binds it to its dispatcher and to the other entry hosts. */
export default function createOrderTasks(
  context: HostContext,
  options: OrderTasksOptions,
): OrderTasks {
  const { settings, incarnation, store, clock, random } = context;
  const orderDispatcher = createOrderDispatcher(options.getServices);
  const ownerQuestions = createOwnerQuestions({
    incarnation,
    transport: options.transport,
    tryGetAddress: options.tryGetPeerAddress,
    getOrderDesk: () => orders,
  });
  const orders = createOrderDesk({
    entryHost: settings.entryHost,
    incarnation,
    store,
    clock,
    random,
    dispatch: orderDispatcher.dispatch,
    askOwner: ownerQuestions.askOwner,
  });
  return { orders, orderDispatcher, answerOwner: ownerQuestions.answer };
}
