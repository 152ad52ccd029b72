import { describe, it } from 'node:test';
import { expect } from 'earl';
import toBackendServerError from './toBackendServerError';

const cases = [
  { code: 'EMFILE', syscall: 'connect', kind: 'notConnected' },
  { code: 'ENOBUFS', syscall: 'connect', kind: 'notConnected' },
  { code: 'ETIMEDOUT', syscall: 'connect', kind: 'notConnected' },
  { code: 'EAI_AGAIN', syscall: 'getaddrinfo', kind: 'notConnected' },
  { code: 'ECONNREFUSED', syscall: undefined, kind: 'notConnected' },
  { code: 'ETIMEDOUT', syscall: 'read', kind: 'interrupted' },
  { code: 'ECONNRESET', syscall: 'read', kind: 'interrupted' },
  { code: 'EPIPE', syscall: 'write', kind: 'interrupted' },
] as const;

// Guards against orders reported as in doubt that never left a host without free descriptors.
describe('toBackendServerError', () => {
  cases.forEach(({ code, syscall, kind }) => {
    it(`reports ${code} of ${syscall ?? 'several connects'} as ${kind}`, () => {
      const error = Object.assign(new Error(code), { code, ...(syscall && { syscall }) });
      expect(toBackendServerError(error).kind).toEqual(kind);
    });
  });
});
