import type { Milliseconds } from '@rattanreel/core';
import type { ServerAccount } from '../types';

/** A load report younger than this goes before what the other hosts tell of themselves. */
const FRESH_REPORT: Milliseconds = 20;
/** Age up to which a report counts for hosts that are not heard; a few answers' time. */
const USABLE_REPORT: Milliseconds = 300;

/** Requests that a backend server is expected to hold: this host's exactly, the others' as last told. */
export default function getOccupancy(
  account: ServerAccount,
  now: Milliseconds,
  hearsAll: boolean,
): number {
  const age = now - account.reportedAt;
  if (age < FRESH_REPORT) {
    return account.own + account.reportedOthers;
  }
  const isReportUsed = !hearsAll && age < USABLE_REPORT;
  return account.own + Math.max(account.others, isReportUsed ? account.reportedOthers : 0);
}
