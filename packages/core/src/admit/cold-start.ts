/**
 * How long requests wait for what an entry cannot do without: the home of a customer's rate and the owner of a group.
 * An entry that has just started has often started together with these, so they are available soon; a refused caller
 * would come back no sooner, and use up one of its retries.
 */

export interface AdmissionWaits {
  /** Longest wait for a home that cannot be reached, in milliseconds. */
  readonly homeMs: number;
  /** Longest wait for an owner and for a server, as a fraction of the statement's timeout. */
  readonly statementShare: number;
}

/** Time after its start in which an entry waits longer, in milliseconds. */
export const COLD_START_MS = 2_500;

const WAITS_AFTER_START: AdmissionWaits = { homeMs: 900, statementShare: 0.75 };
const WAITS: AdmissionWaits = { homeMs: 400, statementShare: 0.45 };

/**
 * Returns the waits of an entry.
 *
 * @param ageMs time since the entry started
 * @example
 * const { homeMs } = admissionWaitsAt(performance.now() - startedAtMs);
 */
export function admissionWaitsAt(ageMs: number): AdmissionWaits {
  return ageMs < COLD_START_MS ? WAITS_AFTER_START : WAITS;
}
