import type { BaselineChoice } from './types';

/** Chooses the usable engines in turn. */
const chooseRoundRobin: BaselineChoice = (views, turn) => views[turn % views.length]!;

export default chooseRoundRobin;
