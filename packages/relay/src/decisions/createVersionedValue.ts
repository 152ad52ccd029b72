interface VersionedValue<Value> {
  /** Replaces the value; returns false, without effect, if it is not newer than the current one. */
  replace(value: Value, version: number): boolean;
  /** Undefined before the first one. */
  readonly value: Value | undefined;
  /** Store version of the value; -1 before the first one. */
  readonly version: number;
}

/** Holds a value that is never replaced by an older one. */
export default function createVersionedValue<Value>(): VersionedValue<Value> {
  let current: { readonly value: Value | undefined; readonly version: number } = {
    value: undefined,
    version: -1,
  };

  return {
    replace(value, version) {
      const isNewer = version > current.version;
      current = isNewer ? { value, version } : current;
      return isNewer;
    },
    get value() {
      return current.value;
    },
    get version() {
      return current.version;
    },
  };
}
