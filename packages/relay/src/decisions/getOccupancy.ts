import type { Milliseconds } from '@rattanreel/core';
import type { ServerAccount } from '../types';

/** A load report younger than this goes before the other hosts' summaries. */
const FRESH_REPORT: Milliseconds = 20;

/** Requests that a backend server is expected to hold: this host's exactly, the others' as last told. */
export default function getOccupancy(account: ServerAccount, now: Milliseconds): number {
  const isFresh = now - account.reportedAt < FRESH_REPORT;
  return account.own + (isFresh ? account.reportedOthers : account.others);
}
