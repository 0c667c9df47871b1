/** Outcomes of refused or failed requests, which callers can distinguish by SQLSTATE alone. */

/**
 * Outcome of a request that was refused or failed in the proxy itself, not on a target.
 *
 * - `not-run`: no part of the request reached a target.
 * - `outcome-unknown`: the request may have been executed.
 * - `withdrawn`: the key was rejected or withdrawn; no further requests are executed.
 * - `unsupported`: the statement was rejected before it was sent to a target.
 */
export type OutcomeKind = 'not-run' | 'outcome-unknown' | 'withdrawn' | 'unsupported';

/** Stable reason codes, used as counter names and in the operations manual. */
export type RefusalReason =
  | 'no-owner'
  | 'no-primary'
  | 'owner-lost-before-start'
  | 'owner-lost-after-start'
  | 'owner-stopping'
  | 'queue-full'
  | 'queue-timeout'
  | 'rate-exceeded'
  | 'rate-home-unreachable'
  | 'settings-lease-expired'
  | 'key-rejected'
  | 'key-withdrawn'
  | 'unknown-group'
  | 'target-connect-failed'
  | 'target-connection-lost'
  | 'target-silent'
  | 'target-out-of-step'
  | 'acknowledgement-not-covered'
  | 'acknowledgement-superseded'
  | 'transaction-lost'
  | 'unsupported-statement'
  | 'mark-ahead-of-group'
  | 'message-too-large'
  | 'too-many-callers'
  | 'memory-pressure'
  | 'message-timeout'
  | 'bad-startup';

export interface Refusal {
  readonly outcome: OutcomeKind;
  readonly reason: RefusalReason;
  readonly sqlState: string;
  readonly message: string;
  readonly hint?: string;
}

interface RefusalTemplate {
  readonly outcome: OutcomeKind;
  readonly sqlState: string;
  readonly message: string;
}

/** Refusals by reason. A test checks that docs/OPERATIONS.md lists each reason with its SQLSTATE. */
export const REFUSAL_TABLE: Readonly<Record<RefusalReason, RefusalTemplate>> = {
  'no-owner': notRun('57P03', 'the database group has no owner at the moment'),
  'no-primary': notRun('57P03', 'the database group has no primary at the moment'),
  'owner-lost-before-start': notRun('57P03', 'the group owner was lost before the request started'),
  'owner-lost-after-start': unknownOutcome(
    'the group owner was lost while the request was running',
  ),
  'owner-stopping': notRun('57P03', 'the group owner is handing over'),
  'queue-full': notRun('53400', 'the customer has too many requests waiting'),
  'queue-timeout': notRun('53400', 'the request waited too long for a server'),
  'rate-exceeded': notRun('53400', 'the customer is above its rate'),
  'rate-home-unreachable': notRun('57P03', 'the home of the customer rate cannot be reached'),
  'settings-lease-expired': notRun('57P03', 'this entry has lost contact with control'),
  'key-rejected': withdrawn('28P01', 'the key was not accepted'),
  'key-withdrawn': withdrawn('28000', 'the key was withdrawn'),
  'unknown-group': { outcome: 'not-run', sqlState: '3D000', message: 'no such database group' },
  'target-connect-failed': notRun('53300', 'no connection to the server could be opened'),
  'target-connection-lost': unknownOutcome(
    'the connection to the server was lost during the request',
  ),
  'target-silent': unknownOutcome('the server stopped answering during the request'),
  'target-out-of-step': unknownOutcome('the server sent an answer that is not that of the request'),
  'acknowledgement-not-covered': unknownOutcome('the write was not confirmed by a quorum in time'),
  'acknowledgement-superseded': unknownOutcome('the primary was superseded while the write ran'),
  'transaction-lost': notRun('57P03', 'the transaction was lost; it has been rolled back'),
  'unsupported-statement': {
    outcome: 'unsupported',
    sqlState: '0A000',
    message: 'the statement is not supported through the proxy',
  },
  'mark-ahead-of-group': {
    outcome: 'not-run',
    sqlState: '22023',
    message: 'the session mark is ahead of anything the group has reached',
  },
  'message-too-large': notRun('53400', 'the message is larger than the limit'),
  'too-many-callers': notRun('53300', 'this entry has too many open connections'),
  'message-timeout': notRun('53400', 'the message was not finished in time'),
  'memory-pressure': notRun(
    '53200',
    'clients have used up the memory that this entry has for them',
  ),
  'bad-startup': { outcome: 'not-run', sqlState: '08P01', message: 'malformed startup message' },
};

/**
 * Builds the refusal for a reason, with an optional hint for the caller.
 *
 * @example
 * refuse('queue-full').sqlState; // '53400'
 */
export function refuse(reason: RefusalReason, hint?: string): Refusal {
  const template = REFUSAL_TABLE[reason];
  return hint === undefined ? { reason, ...template } : { reason, ...template, hint };
}

function notRun(sqlState: string, message: string): RefusalTemplate {
  return { outcome: 'not-run', sqlState, message: `not run: ${message}` };
}

function unknownOutcome(message: string): RefusalTemplate {
  return { outcome: 'outcome-unknown', sqlState: '08007', message: `outcome unknown: ${message}` };
}

function withdrawn(sqlState: string, message: string): RefusalTemplate {
  return { outcome: 'withdrawn', sqlState, message: `withdrawn: ${message}` };
}
