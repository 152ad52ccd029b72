import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import type { z } from 'zod';

/**
 * Reads a report; returns undefined when the file is absent or empty. Throws when it does not match
 * the schema.
 */
export default function tryReadReport<Report>(
  folder: string,
  file: string,
  schema: z.ZodType<Report>,
): Report | undefined {
  const reportFile = path.join(folder, file);
  const text = existsSync(reportFile) ? readFileSync(reportFile, 'utf8').trim() : '';
  return text === '' ? undefined : schema.parse(JSON.parse(text));
}
