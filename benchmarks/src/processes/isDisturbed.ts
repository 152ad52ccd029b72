import type { CutRequest, DisturbanceReason, SoakRecord } from './types';

/** Returns whether a disturbance from the stability window before a request until its end counts. */
export default function isDisturbed(
  record: SoakRecord,
  { request, cutAt }: CutRequest,
  counts: (reason: DisturbanceReason) => boolean,
): boolean {
  return record.disturbances.some(
    (each) =>
      counts(each.reason) &&
      (each.host === 'all' || each.host === request.host) &&
      each.from <= cutAt &&
      each.to >= request.at - record.bounds.stabilityWindow,
  );
}
