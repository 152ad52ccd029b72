/** Bound of one message; a task carries the whole body of a request. */
const maximumMessageBytes = 67_108_864;

export default maximumMessageBytes;
