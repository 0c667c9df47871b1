/**
 * Explanations of where a statement would go. They are sent over links and printed as JSON, so that they contain no
 * `undefined` and no infinite numbers. All ages are in milliseconds.
 */
import type {
  HealthStage,
  Homes,
  LoadAccess,
  LoadFailure,
  LogPosition,
  RateLimit,
  ReadDistribution,
  StatementRefusalReason,
  StatementRequest,
  StatementRoute,
  TargetExclusion,
} from '@bramleykeel/core';
import type { RateHomeState, RateState } from '@bramleykeel/entry-shared';

/** An operator's question to an entry. */
export interface ExplainRequest {
  readonly database: string;
  readonly customer: string;
  readonly access: 'read' | 'write';
  /** The newest commit of the session; `null` for a session without one. */
  readonly mark: LogPosition | null;
  /** Replaces the allowed age of the route; `null` leaves it. */
  readonly maxAgeMs: number | null;
}

export type ExplainFailure =
  'unknown-database' | 'unknown-customer' | 'no-settings' | 'no-owner' | 'owner-unreachable';

export type ExplainAnswer =
  | { readonly kind: 'explained'; readonly explanation: StatementExplanation }
  | { readonly kind: 'failed'; readonly failure: ExplainFailure; readonly message: string };

/** What a statement without content is asked about: what its entry would send with it. */
export type StatementQuestion = Pick<
  StatementRequest,
  | 'customer'
  | 'priority'
  | 'consistency'
  | 'maxReadAgeMs'
  | 'mark'
  | 'budgetMs'
  | 'startWithinMs'
  | 'homes'
  | 'objectiveMs'
> & { readonly access: 'read' | 'write' };

/** Why a server is not chosen by the owner. */
export type OwnerTargetReason =
  | TargetExclusion
  | 'another-is-preferred'
  | 'longer-delay'
  | 'evacuated'
  | 'unreachable'
  | 'no-connection-free'
  | 'not-a-home'
  | 'cold-limit-reached'
  | 'a-warm-server-is-preferred'
  | 'acknowledged-positions-unknown';

/** Why a reader does not choose a server. */
export type ReaderTargetReason =
  | 'no-recent-offer'
  | 'retired'
  | 'evacuated'
  | 'not-a-home'
  | 'may-be-cold'
  | 'set-aside'
  | 'no-free-slot'
  | 'busy'
  | 'lagging'
  | 'unreachable'
  | 'another-is-preferred'
  | 'longer-delay';

export interface ExplainedServiceTime {
  readonly access: LoadAccess;
  readonly meanMs: number;
  readonly spreadMs: number;
  readonly sampleCount: number;
  readonly ageMs: number;
}

/** Which limits on a server are in force, whether or not they matter to the statement. */
export interface ExplainedStanding {
  readonly isEvacuated: boolean;
  readonly isHome: boolean;
  readonly isLeaving: boolean;
  /** `null` unless it is cold. */
  readonly cold: { readonly leftMs: number; readonly allowance: number } | null;
  /** Its part of the reads, by the health that this process sees. */
  readonly health: {
    readonly stage: HealthStage;
    readonly share: number;
    /** `null` since the start of the process. */
    readonly sinceAgoMs: number | null;
  };
  /** Since when connections fail; `null` while they work. */
  readonly failingForMs: number | null;
  readonly busyLeftMs: number;
  readonly laggingLeftMs: number;
}

export interface ExplainedTarget<Reason extends string> {
  readonly server: string;
  readonly zone: string;
  readonly region: string;
  readonly announcedRole: 'primary' | 'replica';
  readonly isPrimary: boolean;
  /** Probability of being chosen now. */
  readonly share: number;
  /** `null` for servers with a share. */
  readonly reason: Reason | null;
  readonly standing: ExplainedStanding;
  readonly slots: number;
  readonly freeSlots: number;
  /** Statements of the explaining process on the server. */
  readonly runningCount: number;
  /** Statements of the other process that uses it, as last reported; `null` if it has reported none. */
  readonly others: { readonly running: number; readonly ageMs: number } | null;
  readonly service: readonly ExplainedServiceTime[];
  readonly failures: readonly {
    readonly kind: LoadFailure;
    readonly count: number;
    readonly ageMs: number;
  }[];
  /** Whether the customer has an idle connection to it. */
  readonly isConnected: boolean;
  readonly position: LogPosition;
  /** Age of the announcement that role, zone and slots are from; for a reader, of the server's first offer. */
  readonly heardAgoMs: number;
  readonly answeredAgoMs: number;
  /** Expected time until the read is started and until it is answered; `null` unless load decides about it. */
  readonly expected: { readonly waitMs: number; readonly delayMs: number } | null;
}

export type OwnerOutcome =
  /** It would start at once with the probability that is the sum of the shares, and else wait. */
  | { readonly kind: 'run' }
  | { readonly kind: 'wait'; readonly reason: string }
  | {
      readonly kind: 'refused';
      readonly reason: StatementRefusalReason;
      readonly retryAfterMs: number;
    };

/** The owner's part. */
export interface OwnerExplanation {
  readonly group: string;
  readonly entryId: string;
  readonly epoch: number;
  readonly startedAgoMs: number;
  readonly leadership: {
    readonly kind: 'unknown' | 'led' | 'changing';
    readonly primary: string | null;
    readonly sinceAgoMs: number;
    readonly reason: string | null;
  };
  readonly readDistribution: ReadDistribution;
  readonly outcome: OwnerOutcome;
  /** What a server must have; `null` until the owner knows the acknowledged positions. */
  readonly required: {
    readonly mustBePrimary: boolean;
    readonly position: LogPosition;
    /** How long ago the position was acknowledged; `null` if that is not known. */
    readonly acknowledgedAgoMs: number | null;
  } | null;
  /** `null` while too few answers are measured, or if no server may run it. */
  readonly predictedWait: { readonly startInMs: number; readonly serviceMs: number } | null;
  /** Whether the owner refuses by the predicted wait. */
  readonly isOverloadControlled: boolean;
  readonly waiting: {
    readonly total: number;
    /** Of open transactions. */
    readonly pinned: number;
    /** Of the customer in the statement's priority. */
    readonly ofCustomer: number;
    readonly byPriority: readonly { readonly priority: number; readonly count: number }[];
  };
  readonly runningCount: number;
  readonly servers: readonly ExplainedTarget<OwnerTargetReason>[];
}

/** The part of the reader in the region of the asked entry. */
export interface ReaderExplanation {
  /** Why the owner runs the read; `null` if the reader does. */
  readonly reason: string | null;
  readonly required: LogPosition | null;
  readonly offerAgoMs: number | null;
  readonly servers: readonly ExplainedTarget<ReaderTargetReason>[];
}

/** Where a read goes before the owner. */
export interface ExplainedReader {
  /** `null` if the group has no reader in the region of the asked entry. */
  readonly entryId: string | null;
  readonly epoch: number | null;
  /** Why it is passed over before it is asked; `null` if the read is sent to it. */
  readonly reason: string | null;
  /** Its own part; `null` if it is passed over or does not answer. */
  readonly part: ReaderExplanation | null;
  /** Age of its part when the entry had it; `null` without one. */
  readonly answeredInMs: number | null;
}

/** The whole explanation, as the asked entry gives it. */
export interface StatementExplanation {
  readonly dialect: 'statement';
  readonly database: string;
  readonly customer: string;
  readonly access: 'read' | 'write';
  readonly entry: {
    readonly entryId: string;
    readonly zone: string;
    readonly region: string;
    readonly settingsVersion: number;
    readonly hasFreshSettings: boolean;
  };
  readonly route: StatementRoute;
  /** The mark and the age that the statement is sent with. */
  readonly mark: LogPosition | null;
  readonly maxReadAgeMs: number;
  readonly homes: Homes;
  /** Why the entry would refuse it; `null` if it is admitted, once it has its rate token. */
  readonly refusal: StatementRefusalReason | null;
  /** `null` for callers without a key, who have no rate. */
  readonly rate: {
    readonly limit: Pick<RateLimit, 'ratePerSecond' | 'burst'>;
    readonly atEntry: RateState;
    /** `null` if no entry is the home of the rate. */
    readonly home: {
      readonly entryId: string;
      readonly epoch: number;
      /** `null` unless the asked entry is the home. */
      readonly state: Pick<RateHomeState, 'tokens' | 'waitingDraws'> | null;
    } | null;
  } | null;
  /** `null` if the statement may not miss the newest commits, and goes to the owner. */
  readonly reader: ExplainedReader | null;
  readonly owner: {
    readonly entryId: string;
    readonly epoch: number;
    readonly zone: string | null;
    /** Age of the owner's part when the entry had it. */
    readonly answeredInMs: number;
    readonly part: OwnerExplanation;
  };
  /** Which process would choose the server. */
  readonly decidedBy: 'entry' | 'reader' | 'owner';
}
