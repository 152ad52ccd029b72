/** Wraps a typed failure as an outcome. */
export default function fail<Failure>(error: Failure): {
  readonly kind: 'error';
  readonly error: Failure;
} {
  return { kind: 'error', error };
}
