/** State of one caller's session at an entry. */
import type { Socket } from 'node:net';
import type {
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
import type { BuiltChunk, CallerStatements } from './chunk-builder.js';

/** What sessions need from the rest of the entry. */
export interface CallerEnvironment {
  readonly counters: Counters;
  readonly log: Log;
  readonly locator: OwnerLocator;
  readonly rates: RateClient;
  readonly classify: (text: string) => QueryClassification;
  readonly maxMessageBytes: number;
  readonly failoverWaitMs: number;
  /** Whether the settings are recent enough to run requests of customers with keys. */
  readonly hasFreshSettings: () => boolean;
  readonly readAgeAllowanceMs: (customer: CustomerName) => number | null;
  readonly isStopping: () => boolean;
}

/** A request that is on its way. */
export interface OpenRequest {
  readonly number: number;
  readonly port: OwnerPort;
  /** Chunks sent so far, for another attempt elsewhere. */
  readonly chunks: BuiltChunk[];
  readonly deadlineMs: number;
  /** Whether its last chunk was sent, so that its end can come. */
  isComplete: boolean;
  hasForwarded: boolean;
  /** Set when the answer is replaced by this refusal. */
  replacedBy: Refusal | undefined;
  isRefusalSent: boolean;
}

export interface CallerSession {
  readonly id: SessionId;
  readonly environment: CallerEnvironment;
  readonly socket: Socket;
  readonly customer: CustomerName;
  readonly group: GroupName;
  /** `undefined` on routes that are open to all. */
  readonly key: AcceptedKey | undefined;
  readonly processId: number;
  readonly secretKey: number;
  readonly framer: MessageFramer;
  readonly inbox: WireMessage[];
  inboxBytes: number;
  readonly statements: CallerStatements;
  /** Session settings, by name, each as the SET statement that made it. */
  readonly settings: Map<string, string>;
  mark: LogPosition | null;
  status: TransactionStatus;
  port: OwnerPort | undefined;
  request: OpenRequest | undefined;
  nextNumber: number;
  /** Whether a chunk is being admitted or an owner looked for. */
  isPreparing: boolean;
  /** After an error, messages are dropped until Sync. */
  isSkipping: boolean;
  /** Bytes that the caller has taken and the owner was not told of yet. */
  unreturnedCreditBytes: number;
  lastActiveMs: number;
  /** Goes on with input that waits; called when a request has ended. */
  continueInput: () => void;
  isClosed: boolean;
}
