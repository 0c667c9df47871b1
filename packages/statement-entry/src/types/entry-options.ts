/** What an entry for statement-level dialects is started with, and what it offers its adapter. */
import type {
  PlacementBounds,
  ReadDistribution,
  StatementRefusalReason,
  StatementSettings,
  TimingSettings,
} from '@bramleykeel/core';
import type { Counters, Log } from '@bramleykeel/link';
import type { CallerSession } from '../accept/session-state.js';
import type { CallerPort } from './caller-port.js';
import type { ExplainAnswer, ExplainRequest } from './explanation.js';
import type { OpenTarget, PromoteServer, ReadTargetStatus } from './target-port.js';

export interface StatementEntryOptions {
  readonly entryId: string;
  readonly zone: string;
  /** The region of a zone; zones of one region are near each other, and near reads stay within it. */
  readonly regionOf: (zone: string) => string;
  /** Bounds on evacuations and cold servers; the defaults if absent. */
  readonly placementBounds?: PlacementBounds;
  /** How reads are distributed over the servers that may run them; `nearest` if absent. */
  readonly readDistribution?: ReadDistribution;
  /** Whether owners refuse at once what they cannot start in time; false if absent. */
  readonly overloadControl?: boolean;
  readonly linkAddress: string;
  readonly linkMbps?: number;
  readonly isBesideControl?: boolean;
  readonly linkSecret: string;
  /** Descriptors that the process may have open; the limit of the system if absent. */
  readonly maxDescriptors?: number | undefined;
  readonly timing: TimingSettings;
  readonly memberAddresses: () => readonly string[];
  /** Time from `stop` until the process is killed, in milliseconds. */
  readonly stopGraceMs: number;
  /** Decodes the operators' settings document; `undefined` when this version cannot decode it. */
  readonly decodeSettings: (body: Uint8Array) => StatementSettings | undefined;
  readonly openTarget: OpenTarget;
  readonly readTargetStatus: ReadTargetStatus;
  readonly promoteServer: PromoteServer;
  readonly log: Log;
  /** Receives a line for each statement without a result, and for a sample of the others. */
  readonly callerLog: Log;
  readonly counters: Counters;
}

export interface StatementEntry {
  /**
   * Starts a caller's session, or returns the reason for refusing it. An entry that has just started
   * waits briefly for its first settings.
   */
  readonly startSession: (
    database: string,
    key: string | undefined,
    port: CallerPort,
  ) => Promise<CallerSession | StatementRefusalReason>;
  readonly endSession: (session: CallerSession) => void;
  /** Explains where a statement would go from this entry now, without sending it. */
  readonly explain: (request: ExplainRequest) => Promise<ExplainAnswer>;
  /** Whether the load balancer should send new callers to this entry. */
  readonly isReady: () => boolean;
  /**
   * Hands over the entry's groups and waits for running statements to finish.
   *
   * @param stopListening called once the load balancer sends new callers to other entries
   */
  readonly stop: (stopListening: () => void) => Promise<void>;
}
