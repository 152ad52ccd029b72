/** More than any name of a deployment needs; names are part of messages, logs and headers. */
const MAXIMUM_NAME_LENGTH = 256;
const UNREADABLE_CHARACTER = /[\p{C}\ufffd]/u;

/**
 * Returns whether a name that another writer may have set can be used as a key and in messages: it
 * has 1 to 256 characters, none of which is a control character or stands for bytes that could not
 * be decoded. `__proto__` is no key of a message.
 */
export default function isReadableName(name: string): boolean {
  return (
    name.length > 0 &&
    name.length <= MAXIMUM_NAME_LENGTH &&
    !UNREADABLE_CHARACTER.test(name) &&
    name !== '__proto__'
  );
}
