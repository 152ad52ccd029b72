import { createHmac, timingSafeEqual } from 'node:crypto';
import type { EntryHostId, Incarnation, Random } from '@rattanreel/core';
import type { OrderOwner } from './types';

const DEFAULT_OUTSTANDING_LIMIT = 50_000;
const SEPARATOR = '.';

interface TicketIssuerOptions {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly random: Random;
  /** Maximum number of issued, unused tickets; above it the oldest can no longer be used. */
  readonly outstandingLimit?: number;
}

type TicketVerification =
  | { readonly kind: 'malformed' }
  /** Names another incarnation as its issuer; its signature has not been verified. */
  | { readonly kind: 'elsewhere'; readonly owner: OrderOwner }
  /** Names this incarnation as its issuer, but was never issued to this customer. */
  | { readonly kind: 'forged' }
  | { readonly kind: 'own'; readonly id: string };

interface TicketIssuer {
  issue(customer: string): string;
  verify(ticket: string, customer: string): TicketVerification;
  /** Consumes a ticket; false when it was already used or dropped. */
  tryRedeem(id: string): boolean;
}

function encode(parts: readonly string[]): string {
  return Buffer.from(JSON.stringify(parts)).toString('base64url');
}

/** Decodes the issuing entry host, its incarnation and the identifier; undefined when malformed. */
function tryDecode(text: string): readonly [string, string, string] | undefined {
  try {
    const parts: unknown = JSON.parse(Buffer.from(text, 'base64url').toString());
    const isValid =
      Array.isArray(parts) && parts.length === 3 && parts.every((part) => typeof part === 'string');
    return isValid ? (parts as [string, string, string]) : undefined;
  } catch {
    return undefined;
  }
}

/** Issues and verifies tickets signed with a secret that only this incarnation knows. */
export default function createTicketIssuer(options: TicketIssuerOptions): TicketIssuer {
  const { entryHost, incarnation, random } = options;
  const limit = options.outstandingLimit ?? DEFAULT_OUTSTANDING_LIMIT;
  const secret = random.identifier() + random.identifier();
  const outstanding = new Set<string>();

  function sign(payload: string, customer: string): Buffer {
    return createHmac('sha256', secret)
      .update(JSON.stringify([payload, customer]))
      .digest();
  }

  function isSigned(payload: string, customer: string, signature: string): boolean {
    const given = Buffer.from(signature, 'base64url');
    const expected = sign(payload, customer);
    return given.length === expected.length && timingSafeEqual(given, expected);
  }

  return {
    issue(customer) {
      const id = random.identifier();
      outstanding.add(id);
      if (outstanding.size > limit) {
        const [oldest] = outstanding;
        outstanding.delete(oldest!);
      }
      const payload = encode([entryHost, incarnation, id]);
      return [payload, sign(payload, customer).toString('base64url')].join(SEPARATOR);
    },
    verify(ticket, customer) {
      const [payload = '', signature = ''] = ticket.split(SEPARATOR);
      const decoded = tryDecode(payload);
      if (decoded === undefined) {
        return { kind: 'malformed' };
      }
      const [issuer, issuerIncarnation, id] = decoded;
      if (issuer !== entryHost || issuerIncarnation !== incarnation) {
        const owner = { entryHost: issuer, incarnation: issuerIncarnation };
        return { kind: 'elsewhere', owner };
      }
      return isSigned(payload, customer, signature) ? { kind: 'own', id } : { kind: 'forged' };
    },
    tryRedeem: (id) => outstanding.delete(id),
  };
}
