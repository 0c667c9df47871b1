/**
 * Tracks whether the replicas that a group has now hold all commits that any replica may have acknowledged. A
 * replica that is gone has taken its log along, and a promoted one no longer counts as a replica, so the commits that
 * only they had received count as uncovered until another replica has received them as well.
 */
import { coversMark, type LogPosition } from '../types/position.js';

/** Something that left commits behind which the present replicas may lack. */
interface Gap<Place> {
  /** The replica that is gone; `undefined` for what a primary had at its start. */
  readonly place: Place | undefined;
  readonly sinceMs: number;
  /** The commits end here at the latest; `undefined` until the primary has reported its position since. */
  end: LogPosition | undefined;
  endKnownMs: number;
}

export interface Coverage<Place> {
  gaps: Gap<Place>[];
}

/** A server that is about to exit may acknowledge commits for this long after its notice, in milliseconds. */
const EXIT_MARGIN_MS = 1_000;

/**
 * Creates the state of an owner that starts.
 *
 * @param isCovered whether a former owner has recorded that the replicas have all commits with which the present primary
 * started to lead; otherwise only that primary may have some of them
 */
export function createCoverage<Place>(isCovered: boolean): Coverage<Place> {
  if (isCovered) return { gaps: [] };
  const sinceMs = Number.NEGATIVE_INFINITY;
  return { gaps: [{ place: undefined, sinceMs, end: undefined, endKnownMs: Number.NaN }] };
}

/** Records that a replica is gone, with its log. */
export function recordDeparture<Place>(
  coverage: Coverage<Place>,
  place: Place,
  nowMs: number,
): void {
  coverage.gaps.push({ place, sinceMs: nowMs, end: undefined, endKnownMs: Number.NaN });
}

/** Removes the gap of a replica that turns out not to be gone. */
export function withdrawDeparture<Place>(
  coverage: Coverage<Place>,
  isReturned: (place: Place) => boolean,
): void {
  coverage.gaps = coverage.gaps.filter(({ place }) => place === undefined || !isReturned(place));
}

/**
 * Records the position at which a primary starts to lead. It covers everything acknowledged before, of which replicas
 * may lack the end.
 */
export function recordPrimaryStart<Place>(
  coverage: Coverage<Place>,
  position: LogPosition,
  nowMs: number,
): void {
  recordPrimaryPosition(coverage, position, nowMs, nowMs);
  coverage.gaps.push({ place: undefined, sinceMs: nowMs, end: position, endKnownMs: nowMs });
}

/** Records the end of the primary's log, as reported to a request that was sent at `requestedAtMs`. */
export function recordPrimaryPosition<Place>(
  coverage: Coverage<Place>,
  position: LogPosition,
  requestedAtMs: number,
  nowMs: number,
): void {
  for (const gap of coverage.gaps) {
    if (gap.end || requestedAtMs - gap.sinceMs < EXIT_MARGIN_MS) continue;
    gap.end = position;
    gap.endKnownMs = nowMs;
  }
}

/** Records what a replica has received, as reported to a request that was sent at `requestedAtMs`. */
export function recordReplicaPosition<Place>(
  coverage: Coverage<Place>,
  position: LogPosition,
  requestedAtMs: number,
): void {
  const isClosed = ({ end, endKnownMs }: Gap<Place>) =>
    end !== undefined && requestedAtMs >= endKnownMs && coversMark(position, end);
  coverage.gaps = coverage.gaps.filter((gap) => !isClosed(gap));
}

/** Whether the present replicas may lack an acknowledged commit. */
export function hasUncoveredCommits({ gaps }: Coverage<unknown>): boolean {
  return gaps.length > 0;
}

/** Whether a position of the primary is needed to tell when the present replicas have all commits. */
export function needsPrimaryPosition({ gaps }: Coverage<unknown>): boolean {
  return gaps.some(({ end }) => end === undefined);
}

/** The replicas that are gone and whose commits are not covered yet. */
export function uncoveredPlaces<Place>({ gaps }: Coverage<Place>): Place[] {
  return gaps.flatMap(({ place }) => (place === undefined ? [] : [place]));
}
