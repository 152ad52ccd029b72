import type { BaselineChoice } from './types';

/** Round robin over the engines that may take work. */
const chooseByTurn: BaselineChoice = (views, turn) => views[turn % views.length]!;

export default chooseByTurn;
