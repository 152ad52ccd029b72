import type { Logger } from '@rattanreel/observability';
import type { SettingsFileDiagnostic } from './types';

interface ReportOptions {
  readonly fileName: string;
  readonly diagnostics: readonly SettingsFileDiagnostic[];
  readonly logger: Pick<Logger, 'error'>;
  readonly printError: (line: string) => void;
}

/** Reports errors in the settings with which a process cannot start: one line each, in both forms. */
export default function reportSettingsDiagnostics(options: ReportOptions): void {
  const { fileName, logger, printError } = options;
  options.diagnostics.forEach((diagnostic) => {
    const { code, line = 0, message } = diagnostic;
    logger.error({ fileName, ...diagnostic }, 'settings cannot be used');
    printError(`${fileName}:${line}: ${code}: ${message}`);
  });
}
