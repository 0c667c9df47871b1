/** Formats the explanation of where a statement of the statement dialect would go. */
import { formatTable } from './format-table.js';

interface Position {
  readonly term: number;
  readonly offset: number;
}

export interface ExplainedServer {
  readonly server: string;
  readonly zone: string;
  readonly isPrimary: boolean;
  readonly share: number;
  readonly reason: string | null;
  readonly standing: {
    readonly isEvacuated: boolean;
    readonly isHome: boolean;
    readonly isLeaving: boolean;
    readonly cold: { readonly leftMs: number; readonly allowance: number } | null;
    readonly health: {
      readonly stage: string;
      readonly share: number;
      readonly sinceAgoMs: number | null;
    };
    readonly failingForMs: number | null;
    readonly busyLeftMs: number;
    readonly laggingLeftMs: number;
  };
  readonly slots: number;
  readonly freeSlots: number;
  readonly runningCount: number;
  readonly others: { readonly running: number; readonly ageMs: number } | null;
  readonly service: readonly {
    readonly access: string;
    readonly meanMs: number;
    readonly spreadMs: number;
    readonly sampleCount: number;
    readonly ageMs: number;
  }[];
  readonly failures: readonly {
    readonly kind: string;
    readonly count: number;
    readonly ageMs: number;
  }[];
  readonly isConnected: boolean;
  readonly position: Position;
  readonly heardAgoMs: number;
  readonly answeredAgoMs: number;
  readonly expected: { readonly waitMs: number; readonly delayMs: number } | null;
}

/** The part of an entry's answer that is printed; `--json` prints all of it. */
export interface StatementExplanation {
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
  readonly route: {
    readonly name: string;
    readonly group: string;
    readonly consistency: string;
    readonly priority: number;
    readonly objectiveMs: number;
    readonly statementTimeoutMs: number;
  };
  readonly mark: Position | null;
  readonly maxReadAgeMs: number;
  readonly homes: readonly string[] | null;
  readonly refusal: string | null;
  readonly rate: {
    readonly limit: { readonly ratePerSecond: number; readonly burst: number };
    readonly atEntry: {
      readonly isTakenAtOnce: boolean;
      readonly tokens: number;
      readonly grantLeftMs: number | null;
      readonly grantAgoMs: number | null;
      readonly waitingCount: number;
      readonly isHomeReachable: boolean;
    };
    readonly home: {
      readonly entryId: string;
      readonly epoch: number;
      readonly state: { readonly tokens: number | null; readonly waitingDraws: number } | null;
    } | null;
  } | null;
  readonly reader: {
    readonly entryId: string | null;
    readonly epoch: number | null;
    readonly reason: string | null;
    readonly answeredInMs: number | null;
    readonly part: {
      readonly reason: string | null;
      readonly required: Position | null;
      readonly offerAgoMs: number | null;
      readonly servers: readonly ExplainedServer[];
    } | null;
  } | null;
  readonly owner: {
    readonly entryId: string;
    readonly epoch: number;
    readonly zone: string | null;
    readonly answeredInMs: number;
    readonly part: {
      readonly startedAgoMs: number;
      readonly leadership: {
        readonly kind: string;
        readonly primary: string | null;
        readonly sinceAgoMs: number;
        readonly reason: string | null;
      };
      readonly readDistribution: string;
      readonly outcome:
        | { readonly kind: 'run' }
        | { readonly kind: 'wait'; readonly reason: string }
        | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number };
      readonly required: {
        readonly mustBePrimary: boolean;
        readonly position: Position;
        readonly acknowledgedAgoMs: number | null;
      } | null;
      readonly predictedWait: { readonly startInMs: number; readonly serviceMs: number } | null;
      readonly isOverloadControlled: boolean;
      readonly waiting: {
        readonly total: number;
        readonly pinned: number;
        readonly ofCustomer: number;
      };
      readonly runningCount: number;
      readonly servers: readonly ExplainedServer[];
    };
  };
  readonly decidedBy: 'entry' | 'reader' | 'owner';
}

const SERVER_HEADING = [
  ...['server', 'role', 'zone', 'share', 'reason', 'standing', 'free', 'running', 'others'],
  ...['read', 'write', 'failures', 'expected', 'connected', 'position', 'heard', 'answered'],
];

/** Formats an explanation as aligned lines of text; ages are in milliseconds. */
export function formatStatementExplanation(explanation: StatementExplanation): string {
  const { database, customer, access, reader, owner } = explanation;
  const facts = [
    ['route:', formatRoute(explanation)],
    ['entry:', formatEntry(explanation)],
    ['rate:', formatRate(explanation.rate)],
    ['reader:', formatReader(reader)],
    ['owner:', formatOwner(owner)],
    ['requires:', formatRequired(owner.part.required)],
    ['wait:', formatWait(owner.part)],
  ];
  return [
    `${access} of ${customer} on ${database}: ${formatOutcome(explanation)}`,
    ...formatTable(facts),
    ...formatServers('servers, as the reader sees them:', reader?.part?.servers ?? []),
    ...formatServers('servers, as the owner sees them:', owner.part.servers),
  ].join('\n');
}

function formatOutcome({ decidedBy, refusal, reader, owner }: StatementExplanation): string {
  if (decidedBy === 'entry') return `refused by the entry: ${refusal ?? 'unknown'}`;
  if (decidedBy === 'reader') return `the reader runs it on ${formatShares(reader?.part?.servers)}`;
  const { outcome, servers } = owner.part;
  if (outcome.kind === 'run') return `the owner runs it on ${formatShares(servers)}`;
  if (outcome.kind === 'wait') return `waits at the owner: ${outcome.reason}`;
  return `refused by the owner: ${outcome.reason}, retry after ${outcome.retryAfterMs} ms`;
}

function formatShares(servers: readonly ExplainedServer[] = []): string {
  return servers
    .filter(({ share }) => share > 0)
    .sort((left, right) => right.share - left.share)
    .map(({ server, share }) => (share > 0.9995 ? server : `${server} (${formatShare(share)})`))
    .join(' or ');
}

function formatShare(share: number): string {
  return `${(share * 100).toFixed(share > 0 && share < 0.1 ? 1 : 0)}%`;
}

function formatRoute({ route, maxReadAgeMs, mark, homes }: StatementExplanation): string {
  const { name, group, consistency, priority, objectiveMs, statementTimeoutMs } = route;
  const age = consistency === 'newest' ? '' : ` up to ${maxReadAgeMs} ms old`;
  return [
    `${name}, group ${group}, ${consistency}${age}, mark ${mark ? formatPosition(mark) : 'none'}`,
    `priority ${priority}, objective ${objectiveMs} ms, timeout ${statementTimeoutMs} ms`,
    `homes ${homes ? homes.join(' ') : 'anywhere'}`,
  ].join(', ');
}

function formatEntry({ entry }: StatementExplanation): string {
  const { entryId, zone, region, settingsVersion, hasFreshSettings } = entry;
  const freshness = hasFreshSettings ? 'fresh' : 'not fresh';
  return `${entryId} in ${zone} (region ${region}), settings ${settingsVersion}, ${freshness}`;
}

function formatRate(rate: StatementExplanation['rate']): string {
  if (!rate) return 'none, callers without a key have no rate';
  const { limit, atEntry, home } = rate;
  const { tokens, grantLeftMs, grantAgoMs, waitingCount, isTakenAtOnce } = atEntry;
  const grant =
    grantLeftMs === null
      ? 'no grant yet'
      : `${tokens} tokens for ${grantLeftMs} ms, asked for ${grantAgoMs ?? 0} ms ago`;
  const place = home ? `home ${home.entryId}, epoch ${home.epoch}` : 'no entry is its home';
  const { state } = home ?? { state: null };
  const bucket = state
    ? [
        state.tokens === null ? 'no draws yet' : `${Math.floor(state.tokens)} tokens`,
        `${state.waitingDraws} draws waiting`,
      ]
    : [];
  return [
    `${limit.ratePerSecond}/s, burst ${limit.burst}`,
    `here ${grant}, ${waitingCount} waiting, ${isTakenAtOnce ? 'admitted at once' : 'asks the home first'}`,
    ...(atEntry.isHomeReachable ? [] : ['the home did not answer last']),
    [place, ...bucket].join(', '),
  ].join('; ');
}

function formatReader(reader: StatementExplanation['reader']): string {
  if (!reader) return 'not asked, because the statement has to see the newest commits';
  const { entryId, epoch, reason, part, answeredInMs } = reader;
  if (entryId === null) return 'none in the region of the entry';
  const place = `${entryId}, epoch ${epoch ?? 0}`;
  if (!part) return `${place}, passed over: ${reason ?? 'no answer'}`;
  const offer =
    part.offerAgoMs === null
      ? 'no usable offer'
      : `offer of ${part.offerAgoMs} ms ago${part.required ? ` at ${formatPosition(part.required)}` : ''}`;
  const result = part.reason === null ? 'runs it' : `leaves it to the owner: ${part.reason}`;
  return `${place}, ${offer}, ${result}, answered in ${answeredInMs ?? 0} ms`;
}

function formatOwner({ entryId, epoch, zone, answeredInMs, part }: StatementExplanation['owner']) {
  const { leadership, startedAgoMs, readDistribution, runningCount } = part;
  const { kind, primary, sinceAgoMs, reason } = leadership;
  const led = primary === null ? `primary ${kind}` : `primary ${primary}`;
  return [
    `${entryId}${zone === null ? '' : ` in ${zone}`}, epoch ${epoch} for ${startedAgoMs} ms`,
    `${led} for ${sinceAgoMs} ms${reason === null ? '' : ` (${reason})`}`,
    `reads ${readDistribution}, ${runningCount} running, answered in ${answeredInMs} ms`,
  ].join(', ');
}

function formatRequired(required: StatementExplanation['owner']['part']['required']): string {
  if (!required) return 'the owner does not know the acknowledged positions yet';
  if (required.mustBePrimary) return 'the primary';
  const { position, acknowledgedAgoMs } = required;
  const age =
    acknowledgedAgoMs === null ? '' : `, acknowledged ${acknowledgedAgoMs} ms ago or earlier`;
  return `position ${formatPosition(position)}${age}`;
}

function formatWait(part: StatementExplanation['owner']['part']): string {
  const { predictedWait, isOverloadControlled, waiting } = part;
  const { total, ofCustomer, pinned } = waiting;
  const forecast = predictedWait
    ? `predicted ${Math.round(predictedWait.startInMs)} ms until the start, ${predictedWait.serviceMs.toFixed(1)} ms to run`
    : 'not predicted, too few answers or no server';
  const use = isOverloadControlled ? 'decides on admission' : 'does not decide on admission';
  return `${forecast} (${use}), ${total} waiting, ${ofCustomer} of the customer, ${pinned} of transactions`;
}

function formatServers(heading: string, servers: readonly ExplainedServer[]): readonly string[] {
  if (servers.length === 0) return [];
  const table = formatTable([SERVER_HEADING, ...servers.map(formatServer)]);
  return [heading, ...table.map((line) => `  ${line}`)];
}

function formatServer(server: ExplainedServer): readonly string[] {
  const { expected, others, failures } = server;
  return [
    ...[server.server, server.isPrimary ? 'primary' : 'replica', server.zone],
    ...[formatShare(server.share), server.reason ?? 'chosen', formatStanding(server.standing)],
    ...[`${server.freeSlots}/${server.slots}`, String(server.runningCount)],
    others ? `${others.running} (${others.ageMs} ms)` : '-',
    ...[formatService(server, 'read'), formatService(server, 'write')],
    failures.map(({ kind, count, ageMs }) => `${count} ${kind} (${ageMs} ms)`).join(', ') || '-',
    expected ? `${expected.delayMs.toFixed(1)} ms` : '-',
    ...[server.isConnected ? 'yes' : 'no', formatPosition(server.position)],
    ...[`${server.heardAgoMs} ms`, `${server.answeredAgoMs} ms`],
  ];
}

function formatStanding(standing: ExplainedServer['standing']): string {
  const { cold, health, failingForMs, busyLeftMs, laggingLeftMs } = standing;
  const since = health.sinceAgoMs === null ? '' : ` for ${health.sinceAgoMs} ms`;
  const isReduced = health.stage !== 'in-service' || health.share < 1;
  const parts = [
    standing.isEvacuated ? 'evacuated' : '',
    standing.isHome ? '' : 'not a home',
    standing.isLeaving ? 'leaving' : '',
    cold ? `cold for ${cold.leftMs} ms, ${cold.allowance} left` : '',
    isReduced ? `${health.stage}${since}, ${formatShare(health.share)} of reads` : '',
    failingForMs === null ? '' : `unreachable for ${failingForMs} ms`,
    busyLeftMs > 0 ? `busy for ${busyLeftMs} ms` : '',
    laggingLeftMs > 0 ? `lagging for ${laggingLeftMs} ms` : '',
  ];
  return parts.filter((part) => part !== '').join(', ') || 'usable';
}

function formatService({ service }: ExplainedServer, access: string): string {
  const measured = service.find((each) => each.access === access);
  if (!measured) return '-';
  const { meanMs, spreadMs, sampleCount, ageMs } = measured;
  return `${meanMs.toFixed(1)}±${spreadMs.toFixed(1)} ms of ${sampleCount} (${ageMs} ms)`;
}

function formatPosition({ term, offset }: Position): string {
  return `${term}.${offset}`;
}
