/** State of a caller's session, and the environment that its entry provides. */
import type {
  AdmissionWaits,
  CustomerName,
  LogPosition,
  StatementRoute,
  StatementSettings,
} from '@bramleykeel/core';
import type { RateClient, TokenReceipt } from '@bramleykeel/entry-shared';
import type { Counters, Log } from '@bramleykeel/link';
import type { OwnerClient, OwnerPort } from '../locate/owner-client.js';
import { createStatementCaller, type StatementCaller } from '../locate/statement-caller.js';
import type { ReaderClient } from '../near/reader-client.js';
import type { CallerPort, CallerRequest } from '../types/caller-port.js';
import type { ConnectionState } from '../types/target-port.js';

/**
 * Phase of an entry's stop.
 *
 * - `serving`: as before; an entry that does not stop is in this phase.
 * - `committing`: new work is refused and open transactions end, but a COMMIT still runs.
 * - `answering`: nothing new runs, and running statements are waited for.
 * - `over`: what still runs gets no more time.
 */
export type StopPhase = 'serving' | 'committing' | 'answering' | 'over';

/** What sessions use from the rest of their entry. */
export interface SessionEnvironment {
  readonly settings: () => StatementSettings | undefined;
  /** Whether the settings are recent enough to check keys against. */
  readonly hasFreshSettings: () => boolean;
  readonly stopPhase: () => StopPhase;
  readonly rates: RateClient;
  /** Whether tokens of operations that reached no target are returned; only overload control limits what waits then. */
  readonly returnsTokens: boolean;
  readonly waits: () => AdmissionWaits;
  readonly owners: OwnerClient;
  readonly readers: ReaderClient;
  readonly counters: Counters;
  readonly log: Log;
  readonly nextTransactionNumber: () => number;
  /** Whether statements carry the objective of their route, by which owners admit them. */
  readonly overloadControl?: boolean;
  /** Successful requests so far; used to log only a sample of them. */
  successCount: number;
}

export interface SessionTransaction {
  readonly number: number;
  readonly isReadOnly: boolean;
  readonly route: StatementRoute;
  readonly customer: CustomerName;
  /** Its rate token; it is returned at the end unless a statement may have reached a target. */
  readonly token: TokenReceipt | undefined;
  mayHaveReachedTarget: boolean;
  /** The owner that holds the transaction; `undefined` until its first statement was sent. */
  ownerPort: OwnerPort | undefined;
}

export interface CallerSession {
  readonly database: string;
  readonly key: string | undefined;
  readonly port: CallerPort;
  readonly environment: SessionEnvironment;
  readonly prepared: Map<string, { readonly access: 'read' | 'write'; readonly shape: string }>;
  values: Readonly<Record<string, string>>;
  /** Bytes of `values` and `prepared`. */
  stateBytes: number;
  state: ConnectionState;
  transaction: SessionTransaction | undefined;
  mark: LogPosition | null;
  readonly queuedRequests: CallerRequest[];
  isRunning: boolean;
  /** The request that runs, or ran last. */
  runningRequest: CallerRequest | undefined;
  readonly caller: StatementCaller;
  isClosed: boolean;
  /** When the current request was started, by the monotonic clock. */
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
    stateBytes: 0,
    state: 'idle',
    transaction: undefined,
    mark: null,
    queuedRequests: [],
    isRunning: false,
    runningRequest: undefined,
    caller: createStatementCaller(),
    isClosed: false,
    requestSinceMs: performance.now(),
  };
}
