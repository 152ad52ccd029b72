import runDemo from '../demo/runDemo';
import type { DemoReport } from '../demo/types';
import exitCodes from '../exitCodes';
import type { Command } from '../types';

function hasNoViolations(report: DemoReport): boolean {
  const violations =
    report.dispatchedTwice +
    report.ordersBookedTwice +
    report.falseNotRun +
    report.crossedAnswers +
    report.cutShort;
  return violations === 0;
}

/** `demo`: runs a deployment with stand-ins and load in this process and checks the results. */
const demo: Command = {
  name: 'demo',
  usage: 'demo [--seconds N] [--seed N] [--rate N] [--json]',
  summary: 'Run a deployment with stand-ins and load in one process, and count what happened',
  async run({ flags, print, printError }) {
    const report = await runDemo({
      seconds: flags.seconds,
      seed: flags.seed,
      requestsPerSecond: flags.rate,
      logLevel: 'silent',
      onProgress: flags.json ? () => undefined : print,
    });
    print(JSON.stringify(report, undefined, flags.json ? undefined : 2));
    if (!hasNoViolations(report)) {
      printError('a promise was broken: see the counts');
      return exitCodes.invariantViolated;
    }
    return exitCodes.success;
  },
};

export default demo;
