import type { BaselineChoice } from './types';

/** Round robin over the engines that may take work. */
const chooseRoundRobin: BaselineChoice = (views, turn) => views[turn % views.length]!;

export default chooseRoundRobin;
