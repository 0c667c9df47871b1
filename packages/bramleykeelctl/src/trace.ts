/** Finds, in the logs of all processes, what became of one request and what its owner believed then. */

export interface LogLine {
  readonly atMs: number;
  /** What stands before the object: the name of the process, if whoever collects logs adds it. */
  readonly from: string;
  readonly part: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface Trace {
  /** Lines of the request itself and, in order of time, lines of its group around it. */
  readonly lines: readonly LogLine[];
  readonly ownCount: number;
}

/** Beliefs that decided a request are older than it by this much at most, in milliseconds. */
const BEFORE_MS = 10_000;
/** What happened to the group just after explains what was under way, in milliseconds. */
const AFTER_MS = 1_000;

/** Reads one line; `undefined` for lines that are not ours. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{"level"');
  if (start === -1) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    // A line that was cut when its process was killed.
    return undefined;
  }
  const { level, time, part, msg, ...fields } = value as Record<string, unknown>;
  if (level === undefined || typeof time !== 'number' || typeof part !== 'string') return undefined;
  const message = typeof msg === 'string' ? msg : '';
  return { atMs: time, from: text.slice(0, start).trim(), part, message, fields };
}

/**
 * Collects the lines of a request, and those that name no request but its group, its customer, or an
 * entry that held one of them.
 *
 * @example
 * traceRequest(readFileSync(0, 'utf8').split('\n'), '5c0e7a21d94b36f8');
 */
export function traceRequest(texts: Iterable<string>, request: string): Trace {
  const lines = [...texts].map(parseLogLine).filter((line) => line !== undefined);
  const own = lines.filter(({ fields }) => fields.request === request);
  if (own.length === 0) return { lines: [], ownCount: 0 };
  const groups = namesOf(own, 'group');
  const customers = namesOf(own, 'customer');
  const isAbout = ({ fields }: LogLine) =>
    groups.has(fields.group) || customers.has(fields.customer);
  const holders = namesOf(lines.filter(isAbout), 'incarnation');
  const times = own.map(({ atMs }) => atMs);
  const fromMs = Math.min(...times) - BEFORE_MS;
  const untilMs = Math.max(...times) + AFTER_MS;
  const isRelated = (line: LogLine) => {
    const { fields, atMs } = line;
    if (fields.request !== undefined || atMs < fromMs || atMs > untilMs) return false;
    return isAbout(line) || holders.has(fields.incarnation);
  };
  const found = lines.filter((line) => own.includes(line) || isRelated(line));
  return { lines: found.sort((left, right) => left.atMs - right.atMs), ownCount: own.length };
}

/** What the lines name; a line that names nothing matches none. */
function namesOf(lines: readonly LogLine[], field: string): ReadonlySet<unknown> {
  return new Set(lines.map(({ fields }) => fields[field]).filter((name) => name !== undefined));
}

/** Shows a trace, each line with its time from the request's first one. */
export function formatTrace({ lines }: Trace, request: string): string {
  const first = lines.find(({ fields }) => fields.request === request);
  return lines
    .map(({ atMs, from, part, message, fields }) => {
      const mark = fields.request === request ? '*' : ' ';
      const offset = `${mark}${String(atMs - (first?.atMs ?? atMs)).padStart(7)} ms`;
      const pairs = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
      return [offset, from, part, message, ...pairs].filter((text) => text !== '').join(' ');
    })
    .join('\n');
}
