/** Predicts when a statement that waits for a server would start. */
import type { LoadAccess, ServiceTime } from '../route/server-load.js';

/** A server as the forecast sees it. */
export interface ForecastServer {
  readonly slots: number;
  /** Statements that may be sent to it now; not positive while it has more than it may have. */
  readonly freePlaces: number;
  readonly service: ReadonlyMap<LoadAccess, ServiceTime>;
}

/** Statements that start before the one in question, and the servers that may run them. */
export interface WaitingAhead<Server extends ForecastServer = ForecastServer> {
  readonly servers: readonly Server[];
  readonly access: LoadAccess;
  readonly count: number;
  /** Such statements that arrive per millisecond and also start before the one in question; zero if absent. */
  readonly arrivingPerMs?: number;
}

export interface ForecastRequest<Server extends ForecastServer = ForecastServer> {
  /** Servers that may run the statement. */
  readonly servers: readonly Server[];
  readonly access: LoadAccess;
  /** All priorities that are served before it, and what is ahead of it in its own. */
  readonly ahead: readonly WaitingAhead<Server>[];
  /** Part of the starts that goes to less urgent statements while some of them wait. */
  readonly lesserShare: number;
  /**
   * Its priority's part of the starts, however many more urgent statements arrive, and the statements of its priority
   * with earlier deadlines, which use that part before it; absent without one.
   */
  readonly guaranteed?: { readonly share: number; readonly countAhead: number };
}

export interface StartForecast {
  /** Time until the statement starts, in milliseconds. */
  readonly startInMs: number;
  /** Mean service time of such a statement on the servers that may run it. */
  readonly serviceMs: number;
}

/** Below this number of answers of a server, its service time is not known well enough to refuse statements. */
export const MIN_FORECAST_SAMPLES = 20;
/** What arrives during the wait extends it; this many passes reach 94% of the wait at half load. */
const ARRIVAL_PASSES = 4;

/**
 * Predicts when a statement would start: work ahead of it is distributed over the servers that may run it, so that
 * all of them would be free at the same time, and the statement takes the first free place. Returns `undefined` if no
 * server may run it, or if one of them has answered fewer than `MIN_FORECAST_SAMPLES` statements.
 *
 * @example
 * const primary = { slots: 4, freePlaces: 0, service: load.service }; // mean of writes: 6 ms
 * const ahead = [{ servers: [primary], access: 'write', count: 40 }] as const;
 * forecastStart({ servers: [primary], access: 'write', ahead, lesserShare: 0 }); // startInMs: 61.5
 */
export function forecastStart<Server extends ForecastServer>({
  servers,
  access,
  ahead,
  lesserShare,
  guaranteed,
}: ForecastRequest<Server>): StartForecast | undefined {
  const isMeasured = servers.every((server) => sampleCountOf(server) >= MIN_FORECAST_SAMPLES);
  if (servers.length === 0 || !isMeasured) return undefined;
  const initialLevels = new Map<Server, number>();
  for (const server of [...servers, ...ahead.flatMap((work) => work.servers)]) {
    if (!initialLevels.has(server)) initialLevels.set(server, initialLevelOf(server));
  }
  // Work that few servers may run is placed first, because the rest can avoid those servers.
  const restrictedFirst = ahead
    .map((work) => ({ ...work, serviceMs: meanServiceMs(work.servers, work.access) }))
    .sort((left, right) => left.servers.length - right.servers.length);
  let startInMs = 0;
  for (let pass = 0; pass < ARRIVAL_PASSES; pass += 1) {
    const formerMs = startInMs;
    const levels = new Map(initialLevels);
    for (const work of restrictedFirst) {
      const count = work.count + (work.arrivingPerMs ?? 0) * startInMs;
      placeWork(levels, work.servers, count * work.serviceMs);
    }
    startInMs = Math.max(0, lowestLevel(levels, servers)) / (1 - lesserShare);
    if (startInMs - formerMs < 1) break;
  }
  const latestMs = guaranteed ? latestByShare(servers, guaranteed) : Number.POSITIVE_INFINITY;
  return { startInMs: Math.min(startInMs, latestMs), serviceMs: meanServiceMs(servers, access) };
}

/** Time until the priority's part of the starts reaches the statement. */
function latestByShare(
  servers: readonly ForecastServer[],
  { share, countAhead }: { readonly share: number; readonly countAhead: number },
): number {
  const startsPerMs = servers.reduce(
    (sum, server) => sum + server.slots / Math.max(1, meanOfAll(server)),
    0,
  );
  return startsPerMs > 0 ? (countAhead + 1) / (share * startsPerMs) : Number.POSITIVE_INFINITY;
}

/** Time until one of the servers has a place. */
function lowestLevel<Server extends ForecastServer>(
  levels: ReadonlyMap<Server, number>,
  servers: readonly Server[],
): number {
  let lowest = Number.POSITIVE_INFINITY;
  for (const server of servers) lowest = Math.min(lowest, levels.get(server) ?? 0);
  return lowest;
}

/** Raises the lowest levels until the work is placed, as water fills vessels. */
function placeWork<Server extends ForecastServer>(
  levels: Map<Server, number>,
  servers: readonly Server[],
  workMs: number,
): void {
  if (workMs <= 0) return;
  const levelOf = (server: Server) => levels.get(server) ?? 0;
  const byLevel = [...servers].sort((left, right) => levelOf(left) - levelOf(right));
  let slots = 0;
  let filledMs = 0;
  let commonLevel = 0;
  let filledCount = 0;
  for (const server of byLevel) {
    const level = levelOf(server);
    if (filledCount > 0 && level >= commonLevel) break;
    filledCount += 1;
    slots += server.slots;
    filledMs += level * server.slots;
    commonLevel = (filledMs + workMs) / Math.max(1, slots);
  }
  for (const server of byLevel.slice(0, filledCount)) levels.set(server, commonLevel);
}

/** Time until a server has a free place, in milliseconds; negative with several free places. */
function initialLevelOf(server: ForecastServer): number {
  const { slots, freePlaces } = server;
  return ((1 - freePlaces) * meanOfAll(server)) / Math.max(1, slots);
}

function meanServiceMs(servers: readonly ForecastServer[], access: LoadAccess): number {
  if (servers.length === 0) return 0;
  let sum = 0;
  for (const server of servers) sum += server.service.get(access)?.meanMs ?? meanOfAll(server);
  return sum / servers.length;
}

/** Mean service time over both kinds of access, weighted by their samples. */
function meanOfAll({ service }: ForecastServer): number {
  let weightedMs = 0;
  let sampleCount = 0;
  for (const measured of service.values()) {
    weightedMs += measured.meanMs * measured.sampleCount;
    sampleCount += measured.sampleCount;
  }
  return sampleCount === 0 ? 0 : weightedMs / sampleCount;
}

function sampleCountOf({ service }: ForecastServer): number {
  let total = 0;
  for (const { sampleCount } of service.values()) total += sampleCount;
  return total;
}
