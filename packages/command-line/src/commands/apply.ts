import { applyChange, configurationLocation } from '@rattanreel/configuration';
import type { AcceptedConfiguration, DeploymentSettings } from '@rattanreel/configuration';
import { createSystemClock, createSystemRandom } from '@rattanreel/core';
import { createObjectStoreClient } from '@rattanreel/platform';
import callAdministration from '../client/callAdministration';
import runCall from '../client/runCall';
import exitCodes from '../exitCodes';
import type { Command, CommandContext, ExitCode } from '../types';
import readAnswers from './readAnswers';

const SUCCESS_STATUS = 200;

/** Writes the first configuration to the platform, as no entry host knows an administrator yet. */
async function applyToPlatform(
  context: CommandContext,
  url: string,
  settings: DeploymentSettings,
): Promise<ExitCode> {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const store = createObjectStoreClient({ url, clock, random });
  const { objectKind, name } = configurationLocation;
  const found = await store.get<AcceptedConfiguration>(objectKind, name);
  const applied = await applyChange({
    store,
    clock,
    random,
    current: found.kind === 'ok' ? found.value.value : undefined,
    change: { kind: 'replaceSettings', settings },
    author: 'platform',
    changeId: random.identifier(),
  });
  await store.close();
  if (applied.kind === 'error') {
    context.printError(JSON.stringify(applied.error));
    return applied.error.kind === 'changeConflict' ? exitCodes.conflict : exitCodes.unavailable;
  }
  const { kind: result, generation } = applied.value;
  context.print(JSON.stringify({ result, generation }));
  return exitCodes.success;
}

async function applyToEntryHost(
  context: CommandContext,
  settings: DeploymentSettings,
): Promise<ExitCode> {
  const current = await callAdministration(context, { method: 'GET', path: '/settings' });
  if (current?.status !== SUCCESS_STATUS) {
    context.printError(JSON.stringify(current?.body ?? 'the entry host cannot be reached'));
    return current === undefined ? exitCodes.unavailable : exitCodes.notAllowed;
  }
  return runCall(
    context,
    {
      method: 'PUT',
      path: '/settings',
      body: settings,
      headers: { 'if-match': current.entityTag, 'x-change-id': createSystemRandom().identifier() },
    },
    JSON.stringify,
  );
}

/** `apply`: generates settings from answers and puts them in force. */
const apply: Command = {
  name: 'apply',
  usage: 'apply ANSWERS.yaml --platform URL | --host URL --token TOKEN',
  summary: 'Put settings in force: the first by the platform, later ones by an entry host',
  async run(context) {
    const answers = await readAnswers(context);
    if (answers.kind === 'error') {
      return answers.error;
    }
    const { platform, host, token } = context.flags;
    if (platform !== undefined) {
      return applyToPlatform(context, platform, answers.value.settings);
    }
    if (host === undefined || token === undefined) {
      context.printError('--platform URL, or --host URL and --token TOKEN, are needed');
      return exitCodes.usage;
    }
    return applyToEntryHost(context, answers.value.settings);
  },
};

export default apply;
