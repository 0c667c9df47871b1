/** State of one client connection to a stand-in server. */
import type { ParsedStatement } from '@bramleykeel/postgres-wire';
import type { ConnectionOutput } from './connection-output.js';
import type { SqlValue } from './expressions.js';
import type { StandInServer } from './server-state.js';
import type { Slots } from './slots.js';
import type { StatementResult } from './statements.js';
import type { Transaction } from './transaction.js';

export interface ConnectionHost {
  readonly server: StandInServer;
  readonly slots: Slots;
  readonly password: string;
  readonly maxConnections: number;
  readonly connectCostMs: number;
  readonly statementCostMs: number;
  readonly connections: Map<number, StandInConnection>;
  nextProcessId: number;
}

export interface Portal {
  readonly statement: ParsedStatement | undefined;
  readonly parameters: readonly SqlValue[];
  running: StatementResult | undefined;
}

export interface StandInConnection {
  readonly host: ConnectionHost;
  readonly output: ConnectionOutput;
  readonly processId: number;
  readonly secretKey: number;
  readonly settings: Map<string, string>;
  readonly statements: Map<string, { statement: ParsedStatement | undefined }>;
  readonly portals: Map<string, Portal>;
  transaction: Transaction | undefined;
  isExplicit: boolean;
  hasFailed: boolean;
  /** After an error, extended messages are skipped until Sync. */
  isSkipping: boolean;
  cancelRunning: (() => void) | undefined;
  phase: 'startup' | 'password' | 'ready';
  isActive: boolean;
}
