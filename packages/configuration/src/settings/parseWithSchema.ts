import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { z } from 'zod';
import type { SettingsError } from '../types';

/** Validates a value against a schema and lists every problem. */
export default function parseWithSchema<Value>(
  schema: z.ZodType<Value>,
  value: unknown,
): Outcome<Value, SettingsError> {
  const result = schema.safeParse(value);
  if (result.success) {
    return ok(result.data);
  }
  const problems = result.error.issues.map(({ path, message }) => ({
    field: path.map(String).join('.'),
    detail: message,
  }));
  return fail({ kind: 'invalidSettings', problems });
}
