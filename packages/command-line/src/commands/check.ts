import exitCodes from '../exitCodes';
import type { Command } from '../types';
import readAnswers from './readAnswers';

/** `check`: reports every mistake in answers to the questionnaire and writes no files. */
const check: Command = {
  name: 'check',
  usage: 'check ANSWERS.yaml [--json]',
  summary: 'Check answers to the questionnaire; write nothing',
  async run(context) {
    const answers = await readAnswers(context);
    if (answers.kind === 'error') {
      return answers.error;
    }
    const { settings, entryHosts } = answers.value;
    context.print(
      context.flags.json
        ? JSON.stringify({ valid: true, diagnostics: [] })
        : `${settings.deployment}: ${entryHosts.length} entry hosts, ` +
            `${settings.backendServers.length} backend servers, ` +
            `${settings.customers.length} customers: no mistakes`,
    );
    return exitCodes.success;
  },
};

export default check;
