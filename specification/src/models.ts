import configurationModel from './models/configurationModel';
import createLeaseModel from './models/createLeaseModel';
import dutyLeaseModel from './models/dutyLeaseModel';
import moveVerdictModel from './models/moveVerdictModel';
import ordersModel from './models/ordersModel';
import type { ModelDefinition } from './types';

/** The models of the core protocol, in order of exploration. */
const models: readonly ModelDefinition[] = [
  ordersModel,
  createLeaseModel({ name: 'lease-fenced', checksFence: true }),
  createLeaseModel({ name: 'lease-unfenced', checksFence: false }),
  dutyLeaseModel,
  configurationModel,
  moveVerdictModel,
];

export default models;
