/** Wraps a typed error as a failed outcome. */
export default function fail<Failure>(error: Failure): {
  readonly kind: 'error';
  readonly error: Failure;
} {
  return { kind: 'error', error };
}
