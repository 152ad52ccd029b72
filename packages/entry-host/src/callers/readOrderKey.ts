import type { OrderKey } from '@rattanreel/orders';

const MAXIMUM_KEY_CHARACTERS = 255;

/** Reads the key of an order from its headers; undefined when a header is invalid. */
export default function readOrderKey(
  ticket: string | undefined,
  callerKey: string | undefined,
): OrderKey | undefined {
  const key = ticket ?? callerKey;
  if (key === undefined) {
    return { kind: 'none' };
  }
  const bothGiven = ticket !== undefined && callerKey !== undefined;
  if (bothGiven || key === '' || key.length > MAXIMUM_KEY_CHARACTERS) {
    return undefined;
  }
  return ticket === undefined ? { kind: 'callerKey', key } : { kind: 'ticket', ticket };
}
