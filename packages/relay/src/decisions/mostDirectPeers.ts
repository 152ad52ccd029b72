/**
 * Other hosts up to which each host tells all of them what it does. Messages grow with the square of
 * this number; beyond it hosts tell those of their own failure domain only.
 */
const MOST_DIRECT_PEERS = 12;

export default MOST_DIRECT_PEERS;
