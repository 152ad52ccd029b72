import type { RequestQuery } from '@rattanreel/relay';
import runCall from '../client/runCall';
import exitCodes from '../exitCodes';
import type { Command, CommandFlags } from '../types';
import formatExplanation from './formatExplanation';

/** Holds the token where it is not given as a flag, which other users of the machine can see. */
const TOKEN_ENVIRONMENT_VARIABLE = 'RATTANREEL_OPERATOR_TOKEN';

function createQuery(target: string, hostName: string, flags: CommandFlags): RequestQuery {
  const { method, customer, promptTokens, outputTokens, promptPart, body } = flags;
  return {
    hostName,
    target,
    method,
    customer,
    key: flags.apiKey[0],
    deadline: flags.deadline === undefined ? undefined : Number(flags.deadline),
    promptTokens,
    outputTokens,
    promptParts: promptPart.length === 0 ? undefined : promptPart,
    body,
  };
}

/** `explain-request`: explains where a request would be sent now, without sending it. */
const explainRequest: Command = {
  name: 'explain-request',
  usage:
    'explain-request PATH --route-host NAME --host METRICS-URL [--token TOKEN] [--json]\n' +
    '        [--customer NAME | --api-key KEY] [--method METHOD] [--deadline MILLISECONDS] [--body TEXT]\n' +
    '        [--prompt-tokens N] [--output-tokens N] [--prompt-part ID:TOKENS...]',
  summary: 'Tell where a request would be sent now, and why; nothing is sent',
  async run(context) {
    const { flags } = context;
    const [target] = context.input;
    if (target === undefined || flags.routeHost === undefined) {
      context.printError('name a path, and the host name of its route with --route-host');
      return exitCodes.usage;
    }
    const token = flags.token ?? process.env[TOKEN_ENVIRONMENT_VARIABLE];
    const body = createQuery(target, flags.routeHost, flags);
    return runCall(
      { ...context, flags: { ...flags, token } },
      { method: 'POST', basePath: '/operator/v1', path: '/explain-request', body },
      formatExplanation,
    );
  },
};

export default explainRequest;
