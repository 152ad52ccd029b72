import moveVerdictModel from './models/moveVerdictModel';
import ordersModel from './models/ordersModel';
import type { ModelDefinition } from './types';

/** The models of the core protocol, in the order in which they are explored. */
const models: readonly ModelDefinition[] = [ordersModel, moveVerdictModel];

export default models;
