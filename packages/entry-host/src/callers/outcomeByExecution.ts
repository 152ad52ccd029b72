import type { EndedRequest } from '@rattanreel/observability';
import type { Execution } from '@rattanreel/orders';

/** Outcome in the metrics of a request that was not answered, by what is known of its execution. */
const outcomeByExecution: Readonly<Record<Execution, EndedRequest['outcome']>> = {
  'not-run': 'refused',
  'partly-run': 'partlyRun',
  'may-have-run': 'mayHaveRun',
  ran: 'answered',
};

export default outcomeByExecution;
