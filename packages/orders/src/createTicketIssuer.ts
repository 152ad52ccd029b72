import { createHmac, timingSafeEqual } from 'node:crypto';
import type { EntryHostId, Incarnation, Random } from '@rattanreel/core';
import type { OrderOwner } from './types';

const DEFAULT_OUTSTANDING_LIMIT = 50_000;
const SEPARATOR = '.';

interface TicketIssuerOptions {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly random: Random;
  /** Tickets that are issued and not yet used; the oldest ones above this can't be used any more. */
  readonly outstandingLimit?: number;
}

type TicketVerification =
  | { readonly kind: 'malformed' }
  /** Issued by another incarnation, if by any. */
  | { readonly kind: 'elsewhere'; readonly owner: OrderOwner }
  /** Names this incarnation, which never issued it to this customer. */
  | { readonly kind: 'forged' }
  | { readonly kind: 'own'; readonly id: string };

interface TicketIssuer {
  issue(customer: string): string;
  verify(ticket: string, customer: string): TicketVerification;
  /** Uses a ticket up; false when it was used, or dropped, before. */
  tryRedeem(id: string): boolean;
}

function encode(parts: readonly string[]): string {
  return Buffer.from(JSON.stringify(parts)).toString('base64url');
}

/** Reads the issuing entry host, its incarnation and the identifier. */
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

/** Issues tickets under a secret that only this incarnation knows. */
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
