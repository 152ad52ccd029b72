/** Wraps a value as a successful outcome. */
export default function ok<Value>(value: Value): { readonly kind: 'ok'; readonly value: Value } {
  return { kind: 'ok', value };
}
