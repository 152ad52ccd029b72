import { match } from 'ts-pattern';
import type { z } from 'zod';
import answersSchema from './answersSchema';
import type { Answers, DiagnosticName, FieldPath, ParsedAnswers } from './types';

type Issue = z.core.$ZodIssue;

/**
 * Second phase: reports every field with an invalid shape. Returns undefined unless all are valid.
 */
export default function checkShape(parsed: ParsedAnswers): Answers | undefined {
  const result = answersSchema.safeParse(parsed.value);
  if (result.success) {
    return result.data;
  }
  result.error.issues.forEach((issue) => reportIssue(issue, parsed));
  return undefined;
}

function reportIssue(issue: Issue, parsed: ParsedAnswers): void {
  const path = issue.path.filter((key) => typeof key !== 'symbol');
  const value = valueAt(parsed.value, path);
  const found = describeValue(value);
  const { sink } = parsed;
  if (issue.code === 'unrecognized_keys') {
    issue.keys.forEach((key) =>
      sink.reportKey('unknownField', [...path, key], { name: key, allowed: issue.message }),
    );
  } else if (value === undefined) {
    sink.report('missingField', path, {
      name: String(path.at(-1) ?? ''),
      allowed: describeAllowed(issue),
    });
  } else {
    sink.report(diagnosticFor(issue), path, { found, allowed: describeAllowed(issue) });
  }
}

function diagnosticFor(issue: Issue): DiagnosticName {
  return match(issue)
    .with({ code: 'invalid_type' }, () => 'wrongType' as const)
    .with({ code: 'too_small' }, () => 'emptyList' as const)
    .with({ code: 'custom' }, ({ params }) => params?.diagnostic as DiagnosticName)
    .otherwise(() => 'wrongValue' as const);
}

function describeAllowed(issue: Issue): string {
  return match(issue)
    .with({ code: 'invalid_type' }, ({ expected }) => nameOfType(expected))
    .with({ code: 'invalid_value' }, ({ values }) => values.map(String).join(', '))
    .with({ code: 'invalid_union' }, ({ message }) => message)
    .with({ code: 'custom' }, ({ params }) => String(params?.allowed ?? ''))
    .otherwise(() => '');
}

function nameOfType(expected: string): string {
  const names: Readonly<Record<string, string>> = {
    string: 'a text, in quotes where it looks like a number or a date',
    number: 'a number',
    boolean: 'true or false',
    array: 'a list',
    object: 'a mapping',
  };
  return names[expected] ?? expected;
}

function valueAt(root: unknown, path: FieldPath): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Readonly<Record<string | number, unknown>>)[key]
        : undefined,
    root,
  );
}

function describeValue(value: unknown): string {
  if (Array.isArray(value)) {
    return 'a list';
  }
  if (typeof value === 'object' && value !== null) {
    return 'a mapping';
  }
  return typeof value === 'string' ? `'${value}'` : String(value);
}
