import type { EndedRequest } from '@rattanreel/observability';
import type { Execution } from '@rattanreel/orders';

/** How a request that was not answered counts in the metrics, by what is known of its execution. */
const outcomeByExecution: Readonly<Record<Execution, EndedRequest['outcome']>> = {
  'not-run': 'refused',
  'partly-run': 'partlyRun',
  'may-have-run': 'mayHaveRun',
  ran: 'answered',
};

export default outcomeByExecution;
