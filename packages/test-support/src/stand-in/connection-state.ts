/** State of one client connection to a stand-in server. */
import type { ParsedStatement } from '@bramleykeel/postgres-wire';
import type { ConnectionOutput } from './connection-output.js';
import type { SqlValue } from './expressions.js';
import type { AnswerFaults } from './repeated-answers.js';
import type { StandInServer } from './server-state.js';
import type { Slots } from './slots.js';
import type { StatementResult } from './statements.js';
import type { Transaction } from './transaction.js';

/** State and limits shared by all connections to one stand-in server. */
export interface ServerContext {
  readonly server: StandInServer;
  readonly slots: Slots;
  readonly password: string;
  readonly maxConnections: number;
  /** Simulated time to open a connection. */
  readonly connectCostMs: number;
  /** Simulated execution time of each statement. */
  readonly statementCostMs: number;
  readonly connections: Map<number, StandInConnection>;
  nextProcessId: number;
  readonly answerFaults: Readonly<AnswerFaults>;
}

export interface PreparedStatement {
  readonly statement: ParsedStatement | undefined;
  /** Parameter types that the Parse has declared; 0 leaves the type open. */
  readonly typeIds: readonly number[];
}

export interface Portal {
  readonly statement: ParsedStatement | undefined;
  readonly parameters: readonly SqlValue[];
  /** Result of the started statement; kept while the portal is suspended. */
  execution: StatementResult | undefined;
}

export interface StandInConnection {
  readonly serverContext: ServerContext;
  readonly output: ConnectionOutput;
  readonly processId: number;
  readonly secretKey: number;
  readonly settings: Map<string, string>;
  readonly statements: Map<string, PreparedStatement>;
  readonly portals: Map<string, Portal>;
  transaction: Transaction | undefined;
  isInExplicitTransaction: boolean;
  hasTransactionFailed: boolean;
  /** Set after an error in the extended query protocol: messages are skipped until Sync. */
  isSkippingUntilSync: boolean;
  cancelStatement: (() => void) | undefined;
  phase: 'startup' | 'password' | 'ready';
  /** Whether the connection is processing messages; reported as the state in pg_stat_activity. */
  isActive: boolean;
}
