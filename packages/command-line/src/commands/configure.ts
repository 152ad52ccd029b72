import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { stringify } from 'yaml';
import exitCodes from '../exitCodes';
import type { Command } from '../types';
import readAnswers from './readAnswers';

const DEFAULT_OUTPUT_FOLDER = 'settings';

/** `configure`: writes the settings of the deployment and of each entry host to files. */
const configure: Command = {
  name: 'configure',
  usage: 'configure ANSWERS.yaml [--output FOLDER] [--json]',
  summary: 'Generate settings from answers to the questionnaire',
  async run(context) {
    const answers = await readAnswers(context);
    if (answers.kind === 'error') {
      return answers.error;
    }
    const folder = context.flags.output ?? DEFAULT_OUTPUT_FOLDER;
    const files = [
      { name: 'deployment.yaml', value: answers.value.settings },
      ...answers.value.entryHosts.map((value) => ({ name: `${value.entryHost}.yaml`, value })),
    ];
    await mkdir(folder, { recursive: true });
    for (const { name, value } of files) {
      await writeFile(path.join(folder, name), stringify(value));
    }
    const written = files.map(({ name }) => path.join(folder, name));
    context.print(context.flags.json ? JSON.stringify({ written }) : written.join('\n'));
    return exitCodes.success;
  },
};

export default configure;
