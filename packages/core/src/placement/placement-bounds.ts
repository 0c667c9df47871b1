/** Bounds of a deployment on evacuations and cold servers. */
export interface PlacementBounds {
  /** Time within which an acknowledged evacuation has to be in force, in milliseconds. */
  readonly evacuationMs: number;
  /** Requests that a cold server may get in a second, as a multiple of its group's rate. */
  readonly coldExcess: number;
  /** Number of requests in addition to that. */
  readonly coldSlack: number;
}

/** Bounds of deployments that name none. */
export const DEFAULT_PLACEMENT_BOUNDS: PlacementBounds = {
  evacuationMs: 5_000,
  coldExcess: 1,
  coldSlack: 0,
};
