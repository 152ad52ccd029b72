import type { Milliseconds } from '@rattanreel/core';
import type { RelayBounds } from '../types';

/** Parts of a window by which arrivals are counted. */
const PARTS = 10;
/** Part of the bound that hosts use: arrivals of one window may have been sent in the one before. */
const USED_PART = 0.7;

interface RepeatBudgetOptions {
  /** Read at each use, since a reload of the settings may change them. */
  readonly bounds: Pick<RelayBounds, 'repeatRatio' | 'repeatWindow' | 'repeatSlack'>;
}

interface RepeatBudget {
  setHosts(count: number): void;
  noteRequest(now: Milliseconds): void;
  /** Whether a request may be sent to one more backend server; counts it when so. */
  tryRepeat(now: Milliseconds): boolean;
}

interface Part {
  index: number;
  requests: number;
  repeats: number;
}

/**
 * This host's part of a pool's repeats: the ratio of its own requests and an equal part of the slack.
 * It asks no other host, so the sum holds in every partition.
 */
export default function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
  const { bounds } = options;
  let parts: Part[] = [];
  let hosts = 1;

  function getPart(now: Milliseconds): Part {
    const index = Math.floor(now / (bounds.repeatWindow / PARTS));
    parts = parts.filter((part) => part.index > index - PARTS);
    let part = parts.at(-1);
    if (part === undefined || part.index !== index) {
      part = { index, requests: 0, repeats: 0 };
      parts.push(part);
    }
    return part;
  }

  return {
    setHosts(count) {
      hosts = Math.max(count, 1);
    },
    noteRequest(now) {
      getPart(now).requests += 1;
    },
    tryRepeat(now) {
      const part = getPart(now);
      const requests = parts.reduce((sum, each) => sum + each.requests, 0);
      const repeats = parts.reduce((sum, each) => sum + each.repeats, 0);
      const allowed = USED_PART * (bounds.repeatRatio * requests + bounds.repeatSlack / hosts);
      if (repeats + 1 > allowed) {
        return false;
      }
      part.repeats += 1;
      return true;
    },
  };
}
