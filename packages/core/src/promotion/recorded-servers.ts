/**
 * Which servers of a group control has on record.
 *
 * After the loss of all processes the next owner knows the servers on record alone. It finds the commits of the former
 * owners because it waits for each of them, so the acknowledgement of a commit is passed on only once every server that
 * the owner knows, and that may have received the commit, is on record.
 */
import type { ServerName } from '../types/ids.js';
import type { LogPosition } from '../types/position.js';

export interface RecordedServers {
  /** Servers that are on record whatever becomes of the proposals of this owner. */
  confirmed: ReadonlySet<ServerName>;
  /** The servers of the proposal that control has not answered yet. */
  proposed: ReadonlySet<ServerName> | undefined;
  /** Whether a proposal has ended without an answer, so that it may or may not have been applied. */
  isUncertain: boolean;
}

/** A commit whose acknowledgement waits until control has servers on record. */
export interface HeldCommit {
  readonly position: LogPosition | null;
  /** Servers that may be the only replicas that have received it. */
  awaited: ReadonlySet<ServerName>;
  /** Ends the wait; `isKnown` says whether a server on record has the commit. */
  readonly end: (isKnown: boolean) => void;
}

/** @param names the servers on record when the owner starts */
export function createRecordedServers(names: Iterable<ServerName>): RecordedServers {
  return { confirmed: new Set(names), proposed: undefined, isUncertain: false };
}

/** Records that a proposal is sent. It may take effect at any moment from now on. */
export function beginRecording(recorded: RecordedServers, names: Iterable<ServerName>): void {
  const proposed = new Set(names);
  recorded.proposed = proposed;
  recorded.confirmed = new Set([...recorded.confirmed].filter((name) => proposed.has(name)));
}

/** Records the end of the proposal under way. */
export function endRecording(recorded: RecordedServers, isApplied: boolean): void {
  const { proposed } = recorded;
  if (!proposed) return;
  if (isApplied) recorded.confirmed = proposed;
  recorded.isUncertain = !isApplied;
  recorded.proposed = undefined;
}

/**
 * The servers among `names` that control may not have on record.
 *
 * @example
 * const awaited = unrecordedServers(recorded, owner.servers.keys());
 */
export function unrecordedServers(
  { confirmed }: RecordedServers,
  names: Iterable<ServerName>,
): ServerName[] {
  return [...names].filter((name) => !confirmed.has(name));
}
