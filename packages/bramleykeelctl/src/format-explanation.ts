/** Formats the explanation of where a request would go. */

interface Position {
  readonly term: number;
  readonly offset: number;
}

export interface Explanation {
  readonly database: string;
  readonly customer: string;
  readonly access: 'read' | 'write';
  readonly readAgeAllowanceMs: number | null;
  readonly owner: { readonly entryId: string; readonly epoch: number };
  readonly rate: {
    readonly ratePerSecond: number;
    readonly burst: number;
    /** `null` if no entry is the home of the rate. */
    readonly home: {
      readonly entryId: string;
      readonly epoch: number;
      /** `null` if the home does not answer. */
      readonly state: { readonly tokens: number | null; readonly waitingDraws: number } | null;
    } | null;
  };
  readonly choice: {
    readonly outcome:
      | { readonly kind: 'run'; readonly server: string }
      | { readonly kind: 'wait'; readonly reason: string }
      | { readonly kind: 'no-primary' }
      | { readonly kind: 'refused'; readonly reason: string };
    /** Absent in answers of earlier versions. */
    readonly predictedWaitMs?: number | null;
    readonly routedAs: { readonly intent: 'read' | 'write'; readonly mark: Position } | null;
    readonly waitingRequests: number;
    readonly failoverPhase: string;
    readonly servers: readonly {
      readonly server: string;
      readonly isChosen: boolean;
      readonly isPrimary: boolean;
      readonly reason?: string | null;
      readonly position: Position;
      readonly freeSlots: number;
      readonly heardAgoMs: number;
      readonly upToDateAgoMs: number | null;
      /** Absent in answers of earlier versions, as what follows. */
      readonly zone?: string;
      readonly isEvacuated?: boolean;
      readonly setAsideLeftMs?: number;
      readonly runningCount?: number;
      readonly service?: readonly {
        readonly access: string;
        readonly meanMs: number;
        readonly spreadMs: number;
        readonly sampleCount: number;
        readonly ageMs: number;
      }[];
    }[];
  };
}

/**
 * Parses a mark as given on the command line.
 *
 * @returns `undefined` if the text is not of the form `TERM.OFFSET`
 * @example
 * parseMark('3.1207'); // { term: 3, offset: 1207 }
 */
export function parseMark(text: string): Position | undefined {
  const found = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  return found ? { term: Number(found[1]), offset: Number(found[2]) } : undefined;
}

/** Formats an explanation as lines of text. */
export function formatExplanation(explanation: Explanation): string {
  const { database, customer, access, readAgeAllowanceMs, owner, rate, choice } = explanation;
  const age = readAgeAllowanceMs === null ? 'no limit' : `${readAgeAllowanceMs} ms`;
  const servers = choice.servers.map((server) => `  ${formatServer(server)}`);
  return [
    `${access} of ${customer} on ${database}: ${formatOutcome(choice.outcome)}`,
    `owner: ${owner.entryId}, epoch ${owner.epoch}, ${choice.failoverPhase}, ${choice.waitingRequests} waiting`,
    `rate: ${rate.ratePerSecond}/s, burst ${rate.burst}, ${formatHome(rate.home)}`,
    `routed as: ${formatRouted(access, choice.routedAs)}, read age: ${age}`,
    ...formatPredictedWait(choice.predictedWaitMs),
    'servers:',
    ...servers,
  ].join('\n');
}

function formatOutcome(outcome: Explanation['choice']['outcome']): string {
  if (outcome.kind === 'run') return `runs on ${outcome.server} at once`;
  if (outcome.kind === 'wait') return `waits: ${outcome.reason}`;
  if (outcome.kind === 'refused') return `refused: ${outcome.reason}`;
  return 'waits: there is no primary';
}

function formatHome(home: Explanation['rate']['home']): string {
  if (!home) return 'no entry is its home';
  const { entryId, epoch, state } = home;
  const place = `home ${entryId}, epoch ${epoch}`;
  if (!state) return `${place}, which does not answer`;
  if (state.tokens === null) return `${place}, no draws yet`;
  return `${place}, ${Math.floor(state.tokens)} tokens, ${state.waitingDraws} draws waiting`;
}

function formatRouted(
  access: Explanation['access'],
  routed: Explanation['choice']['routedAs'],
): string {
  if (!routed) return 'nothing, the mark is unknown';
  const isForPrimary = access === 'read' && routed.intent === 'write';
  const why = isForPrimary ? ' because the owner does not know all acknowledged writes yet' : '';
  return `${routed.intent} with mark ${formatPosition(routed.mark)}${why}`;
}

function formatServer(server: Explanation['choice']['servers'][number]): string {
  const { isChosen, isPrimary, reason, position, freeSlots, heardAgoMs, upToDateAgoMs } = server;
  const upToDate =
    upToDateAgoMs === null ? 'never up to date' : `up to date ${Math.round(upToDateAgoMs)} ms ago`;
  const status = isChosen ? 'chosen' : `not chosen: ${reason ?? 'unknown'}`;
  return [
    `${server.server} (${isPrimary ? 'primary' : 'replica'}) ${status}`,
    `position ${formatPosition(position)}`,
    `${freeSlots} free slots`,
    `heard ${Math.round(heardAgoMs)} ms ago`,
    upToDate,
    ...formatStanding(server),
  ].join(', ');
}

function formatPredictedWait(predictedWaitMs: number | null | undefined): readonly string[] {
  if (predictedWaitMs === undefined) return [];
  if (predictedWaitMs === null) return ['predicted wait: unknown, too few answers or no server'];
  return [`predicted wait: ${Math.round(predictedWaitMs)} ms`];
}

function formatStanding({
  zone,
  isEvacuated,
  setAsideLeftMs = 0,
  runningCount,
  service = [],
}: Explanation['choice']['servers'][number]): readonly string[] {
  return [
    ...(zone === undefined ? [] : [`zone ${zone}${isEvacuated === true ? ' (evacuated)' : ''}`]),
    ...(setAsideLeftMs > 0 ? [`set aside for ${Math.round(setAsideLeftMs)} ms`] : []),
    ...(runningCount === undefined ? [] : [`${runningCount} running`]),
    ...service.map(({ access, meanMs, spreadMs, sampleCount, ageMs }) => {
      const time = `${meanMs.toFixed(1)}±${spreadMs.toFixed(1)} ms`;
      return `${access} ${time} of ${sampleCount}, ${Math.round(ageMs)} ms ago`;
    }),
  ];
}

function formatPosition({ term, offset }: Position): string {
  return `${term}.${offset}`;
}
