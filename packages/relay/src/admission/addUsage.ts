import type { DutyFields } from '../duties/types';
import type { SchedulerRequest } from './types';

/**
 * Adds the usage that is due to the messages that a host sends for each request. Handles a host that
 * is killed: its scheduler knows what it counted until shortly before, without a message more.
 */
export default function addUsage(
  message: SchedulerRequest,
  { tryGetReport }: Pick<DutyFields, 'tryGetReport'>,
): SchedulerRequest {
  if (message.kind !== 'ask' && message.kind !== 'return') {
    return message;
  }
  const usage = tryGetReport('scheduler');
  const isChanged =
    usage !== undefined && (usage.rows.length > 0 || usage.incomplete !== undefined);
  return isChanged ? { ...message, usage } : message;
}
