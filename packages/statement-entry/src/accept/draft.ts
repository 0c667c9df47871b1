/** What the statements of a session are sent with besides their content. */
import {
  type CustomerName,
  homeRulesOf,
  type Homes,
  type LogPosition,
  type StatementRoute,
} from '@bramleykeel/core';
import {
  createStatementDeadlines,
  type StatementDeadlines,
} from '../locate/statement-deadlines.js';
import type { SessionEnvironment } from './session-state.js';

/** What a draft takes of a session. */
export interface DraftSource {
  readonly environment: Pick<SessionEnvironment, 'overloadControl' | 'settings'>;
  readonly database: string;
  readonly mark: LogPosition | null;
}

export function commonDraftFields(
  { environment, database, mark }: DraftSource,
  route: StatementRoute,
  customer: CustomerName,
  homes: Homes,
) {
  return {
    homes,
    customer,
    priority: route.priority,
    consistency: route.consistency,
    maxReadAgeMs: route.maxReadAgeMs,
    mark,
    ...(environment.overloadControl === true && { objectiveMs: route.objectiveMs }),
    // Where the statement waits, its homes are judged again once the settings change there.
    ...(homeRulesOf(environment.settings())?.isLimited === true && { database }),
  };
}

/** Deadlines of a statement of the route that is sent now. */
export function deadlinesOf(
  { waits }: Pick<SessionEnvironment, 'waits'>,
  route: StatementRoute,
): StatementDeadlines {
  return createStatementDeadlines(route.statementTimeoutMs, waits().statementShare);
}
