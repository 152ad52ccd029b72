import type { DiagnosticMessage } from '../types';

/**
 * Diagnostics of the questionnaire. Codes are stable: 1xxx for syntax, 2xxx for shape, 3xxx for
 * semantics.
 */
const diagnosticMessages = {
  invalidYaml: {
    code: 1001,
    category: 'error',
    template: 'The file is not valid YAML: {detail}',
    allowed: 'one YAML document',
  },
  duplicateField: {
    code: 1002,
    category: 'error',
    template: 'A field of the same name stands twice in this mapping.',
    allowed: 'each field once',
  },
  unknownField: {
    code: 2001,
    category: 'error',
    template: "Unknown field '{name}'.",
    allowed: '{allowed}',
  },
  missingField: {
    code: 2002,
    category: 'error',
    template: "The field '{name}' is missing.",
    allowed: '{allowed}',
  },
  wrongType: {
    code: 2003,
    category: 'error',
    template: 'Expected {allowed}, found {found}.',
    allowed: '{allowed}',
  },
  wrongValue: {
    code: 2004,
    category: 'error',
    template: '{found} is not one of the values known.',
    allowed: '{allowed}',
  },
  emptyList: {
    code: 2005,
    category: 'error',
    template: 'The list is empty.',
    allowed: 'at least one entry',
  },
  numberOutOfRange: {
    code: 2006,
    category: 'error',
    template: '{found} is out of range.',
    allowed: '{allowed}',
  },
  invalidName: {
    code: 2007,
    category: 'error',
    template: '{found} is not a valid name.',
    allowed:
      'lower-case letters, digits, dots and hyphens, beginning with a letter or digit, at most 63 characters',
  },
  invalidAddress: {
    code: 2008,
    category: 'error',
    template: '{found} is not a valid address.',
    allowed: 'an IP number and a port, such as 10.0.0.7:8080 or [fd00::7]:8080',
  },
  invalidPort: {
    code: 2009,
    category: 'error',
    template: 'The port of {found} is out of range.',
    allowed: 'a port from 1 to 65535',
  },
  invalidUrl: {
    code: 2010,
    category: 'error',
    template: '{found} is not a valid base URL.',
    allowed: 'an http or https URL with an IP number as host, such as http://10.0.0.7:8080',
  },
  invalidHash: {
    code: 2011,
    category: 'error',
    template: 'The value is not a SHA-256 hash.',
    allowed: '64 hexadecimal digits in lower case, as sha256sum prints them',
  },
  invalidPathPrefix: {
    code: 2012,
    category: 'error',
    template: '{found} is not a valid path prefix.',
    allowed: "a path that begins with '/', without query, fragment or empty segments",
  },
  emptyText: {
    code: 2013,
    category: 'error',
    template: 'The text is empty.',
    allowed: 'a text of 1 to 200 characters',
  },
  unknownReference: {
    code: 3001,
    category: 'error',
    template: 'There is no {target} named {found}.',
    allowed: '{allowed}',
  },
  duplicateName: {
    code: 3002,
    category: 'error',
    template: 'Another {target} is named {found} already, at line {line}.',
    allowed: 'a name that no other {target} has',
  },
  duplicateAddress: {
    code: 3003,
    category: 'error',
    template: 'The address {found} is in use already, at line {line}.',
    allowed: 'an address of its own for each listener and backend server',
  },
  duplicateHash: {
    code: 3004,
    category: 'error',
    template: 'The same hash stands at line {line} already.',
    allowed: 'a secret of its own for each customer and administrator',
  },
  tierOutOfOrder: {
    code: 3005,
    category: 'error',
    template: 'The tier has rank {found} at position {position} of the list.',
    allowed: 'tiers listed from the most important, ranks 1, 2, 3 and so on without gaps',
  },
  deadlineOrder: {
    code: 3006,
    category: 'error',
    template:
      'The deadline for the first token, {found} ms, is later than that for the whole answer.',
    allowed: 'at most {allowed} ms',
  },
  overlappingRoutes: {
    code: 3007,
    category: 'error',
    template: 'The route overlaps {other} at line {line}: a call could match both.',
    allowed: 'routes of one method whose path prefixes do not contain each other',
  },
  plainTextPeers: {
    code: 3008,
    category: 'error',
    template: 'Entry hosts would talk in plain text at {found}, which is not a loopback address.',
    allowed: 'a loopback address, or peerSecurity of kind mutualTls',
  },
} as const satisfies Record<string, DiagnosticMessage>;

export default diagnosticMessages;
