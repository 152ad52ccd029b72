/** Kind of the objects that hold claims. */
const claimKind = 'claim';

export default claimKind;
