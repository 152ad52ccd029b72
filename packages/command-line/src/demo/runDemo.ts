import { runLoad } from '@rattanreel/load';
import evaluateDemo from './evaluateDemo';
import startDemoDeployment from './startDemoDeployment';
import type { DemoOptions, DemoReport } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
const TIERS = ['urgent', 'standard', 'background'];

/** Starts the demo deployment, sends load to it, stops it and evaluates the run. */
export default async function runDemo(options: DemoOptions): Promise<DemoReport> {
  const deployment = await startDemoDeployment(options);
  const run = await runLoad({
    seed: options.seed,
    duration: options.seconds * MILLISECONDS_PER_SECOND,
    requestsPerSecond: options.requestsPerSecond,
    entryHosts: deployment.entryHosts.map(({ callerAddress }) => `http://${callerAddress}`),
    customers: deployment.customers.map(({ name, weight, tier, apiKey }) => ({
      id: name,
      apiKey,
      weight,
      tiers: TIERS.slice(TIERS.indexOf(tier)),
    })),
    models: ['assistant'],
    orders: { service: 'order-book', path: '/orders' },
    onProgress: ({ sent, ended, answeredWhole, refusedNotRun }) =>
      options.onProgress(
        `${sent} sent, ${ended} ended, ${answeredWhole} answered whole, ${refusedNotRun} refused`,
      ),
  });
  await deployment.stop();
  return evaluateDemo({ run, engines: deployment.engines, orderBooks: deployment.orderBooks });
}
