/** Values of a body, and levels of nesting, beyond which its objects need many times its memory. */
const MAXIMUM_VALUES = 100_000;
const MAXIMUM_DEPTH = 256;

/** Returns the index of the quotation mark that ends the string which begins at `start`. */
function findStringEnd(text: string, start: number): number {
  for (let end = text.indexOf('"', start + 1); end !== -1; end = text.indexOf('"', end + 1)) {
    let first = end;
    while (text[first - 1] === '\\') {
      first -= 1;
    }
    if ((end - first) % 2 === 0) {
      return end;
    }
  }
  return text.length;
}

/** Whether a JSON text has no more values and levels than a request needs; it may be malformed. */
export default function isJsonWithinLimits(text: string): boolean {
  let values = 1;
  let depth = 0;
  for (let index = 0; index < text.length; index += 1) {
    switch (text.charAt(index)) {
      case '"':
        index = findStringEnd(text, index);
        break;
      case '[':
      case '{':
        values += 1;
        depth += 1;
        break;
      case ']':
      case '}':
        depth -= 1;
        break;
      case ',':
        values += 1;
        break;
      default:
    }
    if (values > MAXIMUM_VALUES || depth > MAXIMUM_DEPTH) {
      return false;
    }
  }
  return true;
}
