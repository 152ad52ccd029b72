/** Kind of the store objects that hold claims. */
const claimKind = 'claim';

export default claimKind;
