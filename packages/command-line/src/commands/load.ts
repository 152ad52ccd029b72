import { runLoad } from '@rattanreel/load';
import type { LoadSummary } from '@rattanreel/load';
import exitCodes from '../exitCodes';
import type { Command } from '../types';

const MILLISECONDS_PER_SECOND = 1_000;

function formatSummary(summary: LoadSummary): string {
  const outcomes = Object.entries(summary.outcomes).map(([name, count]) => `  ${name}: ${count}`);
  const tiers = summary.tiers.map(
    ({ tier, requests, goodputShare, firstTokenMilliseconds: first }) =>
      `  ${tier}: ${requests} requests, ${(goodputShare * 100).toFixed(1)} % answered whole, ` +
      `first token p50 ${first.p50} ms, p95 ${first.p95} ms, p99 ${first.p99} ms`,
  );
  return [`${summary.requests} requests`, ...outcomes, 'by tier', ...tiers].join('\n');
}

/** `load`: sends open-loop load to a running system. */
const load: Command = {
  name: 'load',
  usage:
    'load --target URL... --api-key KEY... --model MODEL... [--tier TIER...] [--orders SERVICE/PATH]\n' +
    '       [--rate N] [--seconds N] [--seed N] [--deadline MILLISECONDS] [--json]',
  summary: 'Send open-loop load to a running system and sum up what its callers saw',
  async run({ flags, print, printError }) {
    const { target, apiKey, model, tier } = flags;
    if (target.length === 0 || apiKey.length === 0 || model.length === 0 || tier.length === 0) {
      printError('--target, --api-key, --model and --tier are each needed once at least');
      return exitCodes.usage;
    }
    const [service, ...path] = flags.orders?.split('/') ?? [];
    const { summary } = await runLoad({
      seed: flags.seed,
      duration: flags.seconds * MILLISECONDS_PER_SECOND,
      requestsPerSecond: flags.rate,
      entryHosts: target,
      customers: apiKey.map((key) => ({ id: key, apiKey: key, tiers: tier, weight: 1 })),
      models: model,
      orders: service === undefined ? undefined : { service, path: `/${path.join('/')}` },
      deadline: flags.deadline === undefined ? undefined : Number(flags.deadline),
      onProgress: ({ sent, ended, answeredWhole, refusedNotRun }) =>
        flags.json
          ? undefined
          : print(`${sent} sent, ${ended} ended, ${answeredWhole} whole, ${refusedNotRun} refused`),
    });
    print(flags.json ? JSON.stringify(summary) : formatSummary(summary));
    return exitCodes.success;
  },
};

export default load;
