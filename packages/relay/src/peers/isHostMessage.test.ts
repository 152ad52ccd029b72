import { describe, it } from 'node:test';
import { expect } from 'earl';
import isHostMessage from './isHostMessage';

const SUMMARY = { kind: 'summary', entryHost: 'host-1', inFlight: {}, tiers: {}, waiting: {} };

const cases: readonly { readonly body: unknown; readonly isMessage: boolean }[] = [
  { body: SUMMARY, isMessage: true },
  { body: { ...SUMMARY, kind: 'change', later: 1 }, isMessage: true },
  { body: { kind: 'kindOfALaterVersion' }, isMessage: true },
  { body: { ...SUMMARY, inFlight: undefined }, isMessage: false },
  { body: { ...SUMMARY, tiers: null }, isMessage: false },
  { body: { ...SUMMARY, waiting: 7 }, isMessage: false },
  { body: { ...SUMMARY, entryHost: 7 }, isMessage: false },
  { body: {}, isMessage: false },
  { body: null, isMessage: false },
  { body: undefined, isMessage: false },
  { body: 'summary', isMessage: false },
];

// Guards against a message that is stored and ends the host when it is read later.
describe('isHostMessage', () => {
  cases.forEach(({ body, isMessage }) => {
    it(`${isMessage ? 'accepts' : 'refuses'} ${JSON.stringify(body)}`, () => {
      expect(isHostMessage(body)).toEqual(isMessage);
    });
  });
});
