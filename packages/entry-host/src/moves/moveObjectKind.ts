/** Kind of the move objects in the store; an object's name is its pool. */
const moveObjectKind = 'move';

export default moveObjectKind;
