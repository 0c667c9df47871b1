/** State of the reads that an entry runs at replicas as the reader of their group. */
import type {
  FormerHolder,
  GroupName,
  HomeRules,
  LogPosition,
  ReadDistribution,
} from '@bramleykeel/core';
import type { Counters, Log } from '@bramleykeel/link';
import type { ServerState } from '../owner/owner-state.js';
import type { OpenTarget } from '../types/target-port.js';
import type { ReaderOffer, RunningCounts } from './reader-offer.js';
import type { ReplicaPlace } from './run-on-replica.js';

export interface ReplicaReadsOptions {
  readonly regionOf: (zone: string) => string;
  /** Zones on whose servers nothing starts. */
  readonly evacuatedZones: () => ReadonlySet<string>;
  /** The homes of statements by the settings in force here; `undefined` without settings. */
  readonly homeRules: () => HomeRules | undefined;
  readonly readDistribution: ReadDistribution;
  /** Whether the group's servers are limited while they are cold. */
  readonly mayBeCold: (group: GroupName) => boolean;
  readonly openTarget: OpenTarget;
  readonly counters: Counters;
  readonly log: Log;
  /**
   * Requests an offer from the group's owner, with the statements that run here on each server; `undefined` if it
   * makes none.
   */
  readonly requestOffer: (
    group: GroupName,
    running: RunningCounts,
  ) => Promise<ReaderOffer | undefined>;
  /** The former reader of the group in this region; `undefined` while this entry does not hold the role. */
  readonly formerReader: (group: GroupName) => FormerHolder | undefined;
  /** Maximum number of connections to one server of the group, of all callers together. */
  readonly maxServerConnections: (group: GroupName) => number;
}

export interface ReadGroup extends ReplicaPlace {
  readonly group: GroupName;
  readonly servers: Map<string, ServerState>;
  /** Offered positions, oldest first; each includes all writes acknowledged before its request. */
  readonly positions: { readonly requestedAtMs: number; readonly position: LogPosition }[];
  lastRequestMs: number;
  isRequesting: boolean;
}

export interface ReplicaReads {
  readonly options: ReplicaReadsOptions;
  readonly groups: Map<GroupName, ReadGroup>;
  isStopping: boolean;
}
