/** Placement: what backend servers load, decided for each failure domain and ordered under its lease. */
export type * from './types';
export { default as createEngineOrderSender } from './createEngineOrderSender';
export { default as createPlacementController } from './createPlacementController';
export { default as getMoveDemand } from './getMoveDemand';
export { default as planEngineOrders } from './planEngineOrders';
export { default as splitLoadBudget } from './splitLoadBudget';
