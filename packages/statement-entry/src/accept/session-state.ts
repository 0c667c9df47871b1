/** State of one caller's session, and what it needs from its entry. */
import type {
  CustomerName,
  LogPosition,
  StatementRoute,
  StatementSettings,
} from '@bramleykeel/core';
import type { RateClient } from '@bramleykeel/entry-shared';
import type { Counters, Log } from '@bramleykeel/link';
import type { OwnerClient, OwnerPort } from '../locate/owner-client.js';
import type { NearReads } from '../near/near-reads.js';
import type { CallerPort, CallerRequest } from '../types/caller-port.js';
import type { ConnectionState } from '../types/target-port.js';

/** What sessions need from the rest of their entry. */
export interface SessionEnvironment {
  readonly settings: () => StatementSettings | undefined;
  /** Whether the settings are recent enough to judge keys by. */
  readonly hasFreshSettings: () => boolean;
  readonly isStopping: () => boolean;
  readonly rates: RateClient;
  readonly owners: OwnerClient;
  readonly near: NearReads;
  readonly counters: Counters;
  readonly log: Log;
  readonly nextTransaction: () => number;
  /** Successes so far, of which few are written to the log. */
  successCount: number;
}

export interface SessionTransaction {
  readonly number: number;
  readonly isReadOnly: boolean;
  readonly route: StatementRoute;
  readonly customer: CustomerName;
  /** The owner that has it; `undefined` until its first statement was sent. */
  port: OwnerPort | undefined;
}

export interface CallerSession {
  readonly database: string;
  readonly key: string | undefined;
  readonly port: CallerPort;
  readonly environment: SessionEnvironment;
  readonly prepared: Map<string, { readonly access: 'read' | 'write'; readonly shape: string }>;
  values: Readonly<Record<string, string>>;
  state: ConnectionState;
  transaction: SessionTransaction | undefined;
  mark: LogPosition | null;
  readonly waiting: CallerRequest[];
  isRunning: boolean;
  isClosed: boolean;
  /** When the request in hand was taken up, by the steady clock. */
  requestSinceMs: number;
}

export function createSession(
  database: string,
  key: string | undefined,
  port: CallerPort,
  environment: SessionEnvironment,
): CallerSession {
  return {
    database,
    key,
    port,
    environment,
    prepared: new Map(),
    values: {},
    state: 'idle',
    transaction: undefined,
    mark: null,
    waiting: [],
    isRunning: false,
    isClosed: false,
    requestSinceMs: performance.now(),
  };
}
