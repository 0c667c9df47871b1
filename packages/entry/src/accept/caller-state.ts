/** State of a caller's session. */
import type { Socket } from 'node:net';
import type {
  BudgetHolder,
  CustomerName,
  GroupName,
  LogPosition,
  Refusal,
  SessionId,
  TransactionStatus,
} from '@bramleykeel/core';
import type { MessageFramer, QueryClassification, WireMessage } from '@bramleykeel/postgres-wire';
import type { Counters, Log } from '@bramleykeel/link';
import type { RateClient } from '@bramleykeel/entry-shared';
import type { AcceptedKey } from '../authenticate/key-index.js';
import type { OwnerLocator, OwnerPort } from '../locate/owner-port.js';
import type { CallerLimits } from './caller-limits.js';
import type { BuiltChunk, CallerStatements } from './chunk-builder.js';

/** Dependencies of caller sessions on the rest of the entry. */
export interface CallerEnvironment {
  readonly counters: Counters;
  readonly log: Log;
  readonly locator: OwnerLocator;
  readonly rates: RateClient;
  readonly classify: (text: string) => QueryClassification;
  readonly maxMessageBytes: number;
  readonly limits: CallerLimits;
  readonly failoverWaitMs: number;
  /** Whether the settings lease is valid; requests of callers with a key are refused otherwise. */
  readonly hasFreshSettings: () => boolean;
  readonly readAgeAllowanceMs: (customer: CustomerName) => number | null;
  /**
   * Whether sessions are closed as soon as a request has ended. The caller's next request may be on its way then
   * and is refused, so this is only for the end of a planned stop.
   */
  readonly closesAfterAnswers: () => boolean;
}

/** A request that was sent to an owner and has not ended. */
export interface OpenRequest {
  readonly number: number;
  readonly port: OwnerPort;
  /** Chunks sent so far, kept for a retry at another owner. */
  readonly chunks: BuiltChunk[];
  readonly deadlineMs: number;
  /** How many owners may have run it without an answer; only of reads, which run again. */
  readonly unansweredRuns: number;
  /** Whether the last chunk was sent, so that the request can end. */
  isComplete: boolean;
  /** Whether any part of the answer was written to the caller. */
  hasForwardedAnswer: boolean;
  /** Refusal that the caller receives instead of the answer. */
  replacedBy: Refusal | undefined;
  isRefusalSent: boolean;
}

export interface CallerSession {
  readonly id: SessionId;
  readonly environment: CallerEnvironment;
  readonly socket: Socket;
  readonly customer: CustomerName;
  readonly group: GroupName;
  /** `undefined` for callers without a key, on groups that are open to all. */
  readonly key: AcceptedKey | undefined;
  readonly processId: number;
  readonly secretKey: number;
  readonly framer: MessageFramer;
  readonly inbox: WireMessage[];
  inboxBytes: number;
  /** Bytes of the messages of requests that wait or run. */
  takenBytes: number;
  /** When the unfinished message began, by the monotonic clock; 0 without one, and while input waits. */
  messageSinceMs: number;
  /** What the session holds, for the byte budget of the entry. */
  readonly holder: BudgetHolder;
  readonly statements: CallerStatements;
  /** Session settings by name, each as the SET statement that made it. */
  readonly settings: Map<string, string>;
  /** Bytes of the session's settings. */
  settingsBytes: number;
  mark: LogPosition | null;
  status: TransactionStatus;
  port: OwnerPort | undefined;
  request: OpenRequest | undefined;
  nextRequestNumber: number;
  /** Whether a chunk waits for admission, an owner, a retry, or the status of a lost request. */
  isPreparing: boolean;
  /** Whether messages are dropped up to the next Sync, after an error. */
  isSkippingToSync: boolean;
  /** Answer bytes written to the caller whose credit was not yet returned to the owner. */
  unreturnedCreditBytes: number;
  lastActiveMs: number;
  /** Continues with buffered input; called when a request has ended. */
  continueInput: () => void;
  isClosed: boolean;
}
